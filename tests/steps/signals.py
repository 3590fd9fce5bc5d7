"""Steps for the handling of signals."""

import subprocess
import sys
import time

import behave
from behave import runner

_MAX_WAIT_S = 5.0
_PROGRAM = """
import signal, threading, time
from rhubarblead import signals
stopping = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: stopping.set())
def send():
    time.sleep(0.2)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60)
threading.Thread(target=send, daemon=True).start()
signals.wait_for(stopping)
"""


@behave.when(
    "a process waits for SIGTERM, and another of its threads receives it"
)
def run(context: runner.Context) -> None:
    started_at_s = time.monotonic()
    process = subprocess.Popen([sys.executable, "-c", _PROGRAM])
    try:
        process.wait(_MAX_WAIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    context.code = process.returncode
    context.taken_s = time.monotonic() - started_at_s


@behave.then("the process ends within {most:d} s")
def check(context: runner.Context, most: int) -> None:
    assert context.code == 0, context.code
    assert context.taken_s < most, context.taken_s

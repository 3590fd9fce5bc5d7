"""Steps for the handling of signals."""

import subprocess
import sys

import behave
from behave import runner

_MAX_WAIT_S = 15.0
_PROGRAM = """
import signal, threading, time
from rhubarblead import signals
stopping = threading.Event()
signal.signal(signal.SIGTERM, lambda *_: stopping.set())
def send():
    global sent_at_s
    time.sleep(0.2)
    sent_at_s = time.monotonic()
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60)
threading.Thread(target=send, daemon=True).start()
signals.wait_for(stopping)
print(time.monotonic() - sent_at_s)
"""


@behave.when(
    "a process waits for SIGTERM, and another of its threads receives it"
)
def run(context: runner.Context) -> None:
    process = subprocess.Popen(
        [sys.executable, "-c", _PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        context.output, _ = process.communicate(timeout=_MAX_WAIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
    context.code = process.returncode


@behave.then("the process ends within {most:d} s of the signal")
def check(context: runner.Context, most: int) -> None:
    assert context.code == 0, context.code
    assert float(context.output) < most, context.output

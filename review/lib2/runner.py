"""Runs one case: its exit code says whether the rule was broken."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

import standins


class CannotRun(Exception):
    """The deployment didn't come up, so that nothing was shown."""


def run(case):
    """Runs `case(site, has_trouble)`, which returns the broken rules.

    Exits with 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = standins.Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if has_trouble else 'no'}")

    async def start():
        # So that a script that is ended ends its processes as well.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(112), standins.Site(record) as site:
            return await case(site, has_trouble)

    try:
        broken = asyncio.run(start())
        code = 1 if broken else 0
        for rule in broken:
            record(f"BROKEN: {rule}")
    except (CannotRun, TimeoutError, OSError,
            asyncio.CancelledError) as error:
        traceback.print_exc()
        record(f"could not run: {error!r}")
        code = 2
    record(f"exit code {code}")
    record.close()
    sys.exit(code)


async def wait_ready(nodes):
    """Waits until all routers say that they are ready."""
    ready = await asyncio.gather(*(node.wait_ready() for node in nodes))
    if not all(ready):
        raise CannotRun("a router did not become ready")

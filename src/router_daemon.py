"""Entry point of the router process that runs beside one server."""

import asyncio
import sys

from rhubarblead.platform import settings
from rhubarblead.router import node


async def run() -> int:
    """Runs the process and returns its exit code."""
    try:
        deployment = settings.load()
    except settings.CannotLoad as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 2
    await node.Node(deployment=deployment).run()
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))

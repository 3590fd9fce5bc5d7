"""Starts tasks of the event loop, and reports those that fail."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from rhubarblead.events import catalog
from rhubarblead.router import event_log


def start(
    work: Coroutine[None, None, None],
    *,
    name: str,
    events: event_log.EventLog,
    on_failed: Callable[[], None] | None = None,
) -> "asyncio.Task[None]":
    """Starts a task.

    Args:
        work: What it does.
        name: Named in the log where it fails.
        events: The journal.
        on_failed: Called after a failure was reported.

    Returns:
        The running task.
    """

    def check(task: "asyncio.Task[None]") -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        events.emit(
            catalog.Event.INTERNAL_ERROR,
            task=name,
            error=repr(error),
            traceback=find_location(error),
        )
        if on_failed is not None:
            on_failed()

    task = asyncio.get_running_loop().create_task(work, name=name)
    task.add_done_callback(check)
    return task


def find_location(error: BaseException) -> str:
    """Finds where an error was raised, as a file and a line."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    if place is None:
        return ""
    return f"{place.tb_frame.f_code.co_filename}:{place.tb_lineno}"

"""Starts asyncio tasks and logs their failures."""

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
    """Starts a task that logs an event if it fails.

    Args:
        work: The coroutine to run.
        name: Name of the task, for the log.
        events: The event log.
        on_failed: Called after a failure was logged.

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
    """Finds the place where an exception was raised.

    Returns:
        The location as `file:line`, or empty without a traceback.
    """
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"

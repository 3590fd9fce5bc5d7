"""Background jobs whose exceptions are reported as events."""

from collections.abc import Callable
from concurrent import futures
import traceback

from rhubarblead.events import catalog
from rhubarblead.events import log


class JobRunner:
    """Submits jobs to an executor and reports the exceptions they raise."""

    __slots__ = ("_events", "_executor", "_task")

    def __init__(
        self, *, executor: futures.Executor, events: log.EventLog, task: str
    ) -> None:
        self._executor = executor
        self._events = events
        self._task = task

    def submit(
        self,
        job: Callable[[], None],
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """Submits a job.

        Args:
            job: The function to run.
            on_error: Called with the exception of a failed job, after the
                exception was reported.
        """
        self._executor.submit(self._run, job, on_error)

    def _run(
        self,
        job: Callable[[], None],
        on_error: Callable[[Exception], None] | None,
    ) -> None:
        try:
            job()
        except Exception as error:
            report_error(self._events, self._task, error)
            if on_error is not None:
                on_error(error)


def report_error(events: log.EventLog, task: str, error: BaseException) -> None:
    """Reports an unexpected exception, with its traceback."""
    events.emit(
        catalog.Event.INTERNAL_ERROR,
        task=task,
        error=repr(error),
        traceback="".join(traceback.format_exception(error)),
    )

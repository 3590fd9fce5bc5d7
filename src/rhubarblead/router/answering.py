"""Gives callers their answers, and says why in the log."""

from collections.abc import Callable
import http

from rhubarblead.events import catalog
from rhubarblead.platform import headers
from rhubarblead.router import attempt as attempts
from rhubarblead.router import directory
from rhubarblead.router import http_server
from rhubarblead.router import journal
from rhubarblead.router import wire

NO_CONFIG_RETRY_MS = 500
"""A node that has just started reads the configuration in some 20 ms."""

_UNKNOWN_ROUTE = "-"


class Answering:
    """The last step of each request: answer, log line, count."""

    __slots__ = ("_directory", "_journal", "_now_ms", "observe")

    def __init__(
        self,
        *,
        known: directory.Directory,
        events: journal.Journal,
        now_ms: Callable[[], int],
    ) -> None:
        """Makes the part.

        Args:
            known: Tells the versions by which was decided.
            events: The journal.
            now_ms: The clock.
        """
        self._directory = known
        self._journal = events
        self._now_ms = now_ms
        # Counts an answer by route, status and milliseconds.
        self.observe: Callable[[str, int, int], None] | None = None

    def pass_on(self, attempt: attempts.Attempt, outcome: wire.Outcome) -> None:
        """Gives a caller the answer of a server."""
        attempt.end()
        attempt.exchange.finish(
            http_server.Answer(
                status=outcome.status,
                reason=outcome.phrase,
                fields=outcome.head,
                body=outcome.body,
            )
        )
        took_ms = self._now_ms() - attempt.started_at_ms
        self._journal.emit(
            catalog.Event.ANSWER_RETURNED,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            status=outcome.status,
            node_id=attempt.node_id,
            sent_count=attempt.sent_count,
            took_ms=took_ms,
            config_version=self._get_version(),
        )
        self._count(attempt, outcome.status, took_ms)

    def refuse(
        self, attempt: attempts.Attempt, cause: str, retry_after_ms: int
    ) -> None:
        """Tells a caller that its request has not run and won't."""
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        self._finish(attempt, status, cause, retry_after_ms)

    def fail(
        self, attempt: attempts.Attempt, status: http.HTTPStatus, cause: str
    ) -> None:
        """Tells a caller that its request may have run."""
        self._finish(attempt, status, cause, 0)

    def refuse_early(
        self,
        exchange: http_server.Exchange,
        status: int,
        request_id: str,
        cause: str,
    ) -> None:
        """Answers a request that belongs to no route, or can't be read."""
        is_refusal = status == http.HTTPStatus.SERVICE_UNAVAILABLE
        after_ms = NO_CONFIG_RETRY_MS if is_refusal else 0
        exchange.finish(_make_answer(status, request_id, after_ms))
        self._journal.emit(
            catalog.Event.ANSWER_OWN,
            request_id=request_id,
            route=_UNKNOWN_ROUTE,
            status=status,
            cause=cause,
            config_version=self._get_version(),
        )

    def report_again(self, attempt: attempts.Attempt, cause: str) -> None:
        """Says that a request is sent once more."""
        self._journal.emit(
            catalog.Event.REQUEST_SENT_AGAIN,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            node_id=attempt.node_id,
            cause=cause,
            sent_count=attempt.sent_count,
        )

    def report_gone(self, attempt: attempts.Attempt) -> None:
        """Says that a caller has left."""
        self._journal.emit(
            catalog.Event.CALLER_GONE,
            request_id=attempt.head.request_id,
            route=attempt.route.name,
            node_id=attempt.node_id,
            took_ms=self._now_ms() - attempt.started_at_ms,
        )

    def _finish(
        self,
        attempt: attempts.Attempt,
        status: http.HTTPStatus,
        cause: str,
        retry_after_ms: int,
    ) -> None:
        attempt.end()
        request_id = attempt.head.request_id
        attempt.exchange.finish(
            _make_answer(status, request_id, retry_after_ms)
        )
        took_ms = self._now_ms() - attempt.started_at_ms
        _, revision = self._directory.get_assignment(attempt.service)
        self._journal.emit(
            catalog.Event.ANSWER_OWN,
            request_id=request_id,
            route=attempt.route.name,
            status=int(status),
            cause=cause,
            node_id=attempt.node_id,
            sent_count=attempt.sent_count,
            took_ms=took_ms,
            retry_after_ms=retry_after_ms,
            config_version=self._get_version(),
            assignment_revision=revision,
        )
        self._count(attempt, int(status), took_ms)

    def _count(
        self, attempt: attempts.Attempt, status: int, took_ms: int
    ) -> None:
        if self.observe is not None:
            self.observe(attempt.route.name, status, took_ms)

    def _get_version(self) -> int:
        table = self._directory.table
        return table.version if table is not None else 0


def _make_answer(
    status: int, request_id: str, retry_after_ms: int
) -> http_server.Answer:
    fields = headers.encode_own_answer(request_id) if request_id else b""
    if retry_after_ms:
        fields += b"retry-after: %.3f\r\n" % (retry_after_ms / 1_000)
    return http_server.Answer(status=status, fields=fields)

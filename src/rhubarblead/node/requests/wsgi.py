"""The WSGI application for callers, operators and the upstream."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import math
import threading
from typing import Any
from typing import TypeAlias

from waitress import channel
from waitress import task

from rhubarblead import refusal as refusals
from rhubarblead import verdict as verdicts
from rhubarblead.node.requests import intake
from rhubarblead.node.requests import outcome as outcomes

ADMIN_PREFIX = "/-/"
_MS_PER_S = 1000
_RESERVED_PREFIX = "rhubarb-"
_TIMEOUT_HEADER = "rhubarb-timeout-ms"
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
Handler: TypeAlias = Callable[[intake.CallerRequest], outcomes.Outcome]


class Application:
    """Dispatches each request to the router or the admin handler.

    While more than `queue_length` requests wait for a thread, requests of
    callers are refused at once, since they would be answered too late.
    """

    __slots__ = (
        "_active_count",
        "_admin",
        "_count_waiting",
        "_lock",
        "_queue_length",
        "_refuse",
        "_route",
    )

    def __init__(
        self,
        *,
        route: Handler,
        admin: Handler,
        refuse: Handler,
        queue_length: int,
    ) -> None:
        self._route = route
        self._admin = admin
        self._refuse = refuse
        self._queue_length = queue_length
        self._count_waiting: Callable[[], int] = lambda: 0
        self._active_count = 0
        self._lock = threading.Lock()

    def set_waiting_counter(self, count_waiting: Callable[[], int]) -> None:
        """Sets the function that counts the requests waiting for a thread."""
        self._count_waiting = count_waiting

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one request, as the WSGI protocol requires."""
        with self._counting():
            return self._respond(environ, start_response)

    def count_active(self) -> int:
        """Counts the requests that are being handled."""
        return self._active_count

    @contextlib.contextmanager
    def _counting(self) -> Iterator[None]:
        with self._lock:
            self._active_count += 1
        try:
            yield
        finally:
            with self._lock:
                self._active_count -= 1

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = read_request(environ)
        outcome = self._choose_handler(request)(request)
        start_response(
            f"{outcome.status} {outcome.reason}",
            build_headers(request.request_id, outcome),
        )
        return [outcome.body]

    def _choose_handler(self, request: intake.CallerRequest) -> Handler:
        if request.path.startswith(ADMIN_PREFIX):
            return self._admin
        if self._count_waiting() > self._queue_length:
            return self._refuse
        return self._route


def read_request(environ: dict[str, Any]) -> intake.CallerRequest:
    """Reads a request from a WSGI environment."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = [
        (_name_header(name), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    return intake.CallerRequest(
        request_id=intake.make_request_id(),
        method=environ["REQUEST_METHOD"],
        target=environ.get("REQUEST_URI") or environ["PATH_INFO"],
        headers=tuple(item for item in headers if is_forwarded_header(item[0])),
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def is_forwarded_header(name: str) -> bool:
    """Checks whether a caller's header may reach the upstream or the router.

    The upstream trusts `Rhubarb-` headers. A caller may therefore set none of
    them but the one that shortens the timeout.
    """
    lowered = name.lower()
    if lowered.startswith(_RESERVED_PREFIX):
        return lowered == _TIMEOUT_HEADER
    return lowered not in _HOP_BY_HOP


def build_headers(
    request_id: str, outcome: outcomes.Outcome
) -> list[tuple[str, str]]:
    """Builds the headers of the response to a caller."""
    headers = [
        (name, value)
        for name, value in outcome.headers
        if name.lower() not in _HOP_BY_HOP
        and not name.lower().startswith(_RESERVED_PREFIX)
    ]
    headers.append(("Content-Length", str(len(outcome.body))))
    headers.append(("Rhubarb-Request-Id", request_id))
    headers.append(("Rhubarb-Verdict", outcome.verdict.value))
    if outcome.refusal is not None:
        headers.append(("Rhubarb-Refusal", outcome.refusal.value))
    if outcome.server:
        headers.append(("Rhubarb-Server", outcome.server))
    if outcome.owner:
        headers.append(("Rhubarb-Owner", outcome.owner))
    if outcome.retry_after_ms:
        seconds = math.ceil(outcome.retry_after_ms / _MS_PER_S)
        headers.append(("Retry-After", str(seconds)))
        headers.append(("Rhubarb-Retry-After-Ms", str(outcome.retry_after_ms)))
    return headers


def _name_header(name: str) -> str:
    return name.removeprefix("HTTP_").replace("_", "-").title()


class _RefusalTask(task.ErrorTask):  # type: ignore[misc]
    """Refuses a request that is not valid HTTP, with a verdict."""

    def execute(self) -> None:
        error = self.request.error
        is_large = error.code == refusals.find_status(
            refusals.Refusal.TOO_LARGE
        )
        outcome = outcomes.refuse(
            refusals.Refused(
                refusal=(
                    refusals.Refusal.TOO_LARGE
                    if is_large
                    else refusals.Refusal.MALFORMED
                ),
                explanation=f"{error.reason}: {error.body}",
            ),
            verdicts.Verdict.NOT_RUN,
        )
        self.status = f"{outcome.status} {outcome.reason}"
        self.response_headers.extend(
            build_headers(intake.make_request_id(), outcome)
        )
        self.content_length = len(outcome.body)
        self.set_close_on_finish()
        self.write(outcome.body)


class _Task(task.WSGITask):  # type: ignore[misc]
    """Handles one request; closes the connection during a shutdown."""

    def execute(self) -> None:
        if self.channel.server.event_loop.is_closing:
            self.set_close_on_finish()
        super().execute()


class Channel(channel.HTTPChannel):  # type: ignore[misc]
    """A caller's connection, whose every response carries a verdict.

    It notifies the event loop, an attribute of its server, whenever the events
    that it waits for may have changed.
    """

    task_class = _Task
    error_task_class = _RefusalTask

    def add_channel(self, map: Any = None) -> None:  # noqa: A002, ANN401
        """Adds the channel to the event loop."""
        super().add_channel(map)
        self.server.event_loop.mark_changed(self)

    def del_channel(self, map: Any = None) -> None:  # noqa: A002, ANN401
        """Removes the channel from the event loop."""
        self.server.event_loop.unwatch(self._fileno)
        super().del_channel(map)

    def service(self) -> None:
        """Handles the requests that were read."""
        with self.server.event_loop.serving(self):
            super().service()

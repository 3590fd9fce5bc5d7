"""Steps for what makes a response well-formed, with both of its readers."""

import asyncio
from collections.abc import Callable
import http.client
import io
from typing import Any

import behave
from behave import runner
import hypothesis

from rhubarblead.router import http_client
from rhubarblead.upstream import headers
from rhubarblead.upstream import responses
from tests.rhubarblead import response_grammar

_MAX_BYTES = 1_000_000
_KEPT = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
_METHODS = hypothesis.strategies.sampled_from([b"GET", b"GET", b"HEAD"])


class _Transport(asyncio.Transport):
    """A transport that sends nothing."""

    def write(self, data: Any) -> None:  # noqa: ANN401
        """Drops what is sent."""

    def abort(self) -> None:
        """Does nothing: the test ends the connection."""


class _Verdict:
    """What a reader has delivered, in the words of the grammar."""

    def __init__(
        self,
        status: int | None = None,
        body: bytes = b"",
        fields: tuple[tuple[bytes, bytes], ...] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.fields = fields

    def is_as(self, expected: response_grammar.Expected) -> bool:
        """Tells whether it is what the grammar expects."""
        if self.status is None:
            return expected.status is None or not expected.is_certain
        has_fields = self.fields in (None, expected.fields)
        is_same = (self.status, self.body) == (expected.status, expected.body)
        return is_same and has_fields


async def _read_by_router(content: bytes, method: bytes, how: str) -> _Verdict:
    pool = http_client.Pool(ip="127.0.0.1", port=1, max_idle_s=60.0)
    connection = http_client.Connection(pool=pool)
    connection.connection_made(_Transport())
    results: list[http_client.Result] = []

    def send(sent_method: bytes) -> None:
        connection.send(
            b"", sent_method, http_client.accept_all, results.append
        )

    if how == "on a kept connection":
        send(b"GET")
        connection.data_received(_KEPT)
        await asyncio.sleep(0)
        assert pool.acquire() is connection
        results.clear()
    send(method)
    size = 1 if how == "in pieces" else max(1, len(content))
    for start in range(0, len(content), size):
        connection.data_received(content[start : start + size])
    connection.connection_lost(None)
    await asyncio.sleep(0)
    (result,) = results
    assert not pool.body_budget.reserved_bytes
    if isinstance(result, http_client.NoResponse):
        return _Verdict()
    return _Verdict(result.status, result.body, tuple(result.fields))


class _Pieces(io.RawIOBase):
    """Bytes that arrive one by one."""

    def __init__(self, content: bytes) -> None:
        super().__init__()
        self._content = io.BytesIO(content)

    def readable(self) -> bool:
        """Tells that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:  # noqa: ANN401
        """Reads the next byte."""
        return self._content.readinto(memoryview(buffer)[:1])


def _read_by_client(content: bytes, method: bytes, how: str) -> _Verdict:
    raw = _Pieces(content) if how == "in pieces" else io.BytesIO(content)
    reader: Any = io.BufferedReader(raw)  # type: ignore[arg-type]
    response = responses.Response(reader=reader, method=method.decode())
    try:
        response.begin()
        body = response.read_body(_MAX_BYTES)
    except (
        http.client.HTTPException,
        headers.CannotRead,
        responses.ResponseTooLarge,
    ):
        return _Verdict()
    return _Verdict(response.status, body)


def _find_differences(
    reader: str, contents: Any, how: str, count: int  # noqa: ANN401
) -> list[str]:
    """Reads drawn responses, until a verdict isn't that of the grammar."""
    found: list[str] = []

    def check(content: bytes, method: bytes) -> None:
        expected = response_grammar.judge(content, method=method)
        if reader == "client":
            if not expected.has_end:
                # It takes no response whose end isn't stated.
                expected = response_grammar.NOTHING
            verdict = _read_by_client(content, method, how)
        else:
            verdict = asyncio.run(_read_by_router(content, method, how))
        if not verdict.is_as(expected):
            found[:] = [
                f"{method!r} {content!r}: {expected}, but"
                f" {verdict.status} {verdict.fields} {verdict.body!r}"
            ]
            raise AssertionError

    run: Callable[[], None] = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )(hypothesis.given(contents, _METHODS)(check))
    try:
        run()
    except AssertionError:
        assert found
    return found


@behave.when("{count:d} {kind} responses are read by the {reader:w}, {how}")
def read_drawn(
    context: runner.Context, count: int, kind: str, reader: str, how: str
) -> None:
    contents = (
        response_grammar.mutated
        if kind == "mutated"
        else response_grammar.well_formed
    )
    context.differences = _find_differences(reader, contents, how, count)


@behave.then("each verdict is that of the grammar")
def check_verdicts(context: runner.Context) -> None:
    assert not context.differences, context.differences


@behave.when('a server answers with "{response}"')
def read_one(context: runner.Context, response: str) -> None:
    head = response.encode().decode("unicode_escape").encode("latin-1")
    context.content = head + b"\r\n\r\nbody"


@behave.then("neither reader delivers it")
def check_refused(context: runner.Context) -> None:
    for how in ("whole", "in pieces"):
        verdict = asyncio.run(_read_by_router(context.content, b"GET", how))
        assert verdict.status is None, ("router", verdict.status)
        verdict = _read_by_client(context.content, b"GET", how)
        assert verdict.status is None, ("client", verdict.status)


@behave.when(
    'a server sends a trailer "{line}" behind the chunks of its response'
)
def read_trailer(context: runner.Context, line: str) -> None:
    content = (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n" + line.encode() + b"\r\n\r\n"
    )
    context.verdict = asyncio.run(_read_by_router(content, b"GET", "whole"))
    assert context.verdict.body == b"body"


@behave.then('the response has no field "{name}"')
def check_no_field(context: runner.Context, name: str) -> None:
    names = [field for field, _ in context.verdict.fields]
    assert names and name.encode() not in names, names

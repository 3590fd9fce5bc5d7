"""Serves the calls of the platform's store, including waits for changes."""

import http
import threading
import time

import msgspec

from tools.standins import exchange
from tools.standins import rows

MAX_WAIT_MS = 30_000
"""The longest wait for changes, from the platform's specification."""

ROW_BYTES = 65_536
MAX_STORED_BYTES = 400_000_000
MAX_LISTED_BLOBS = 1_000
REWRITE_DELAY_S = 0.5
"""Time after a restore until the operator has written its rows again."""

_OPERATOR_TABLE = "op"
_MS_PER_S = 1_000


def is_row_call(request: exchange.Request) -> bool:
    """Tells whether a request is a call of the platform's store."""
    return request.path.startswith(("/rows-", "/blob-"))


class RowCalls:
    """Rows and blobs, shared by all threads of the stand-in."""

    __slots__ = ("_blobs", "_changed", "_copy", "_rows", "era")

    def __init__(self, *, era: str = "") -> None:
        """Makes an empty store.

        Args:
            era: The store's era in all its replies; they have none if empty.
        """
        self._changed = threading.Condition()
        self._rows = rows.RowStore(row_bytes=ROW_BYTES)
        self._copy = self._rows.copy()
        self._blobs: dict[str, bytes] = {}
        self.era = era

    def take_copy(self) -> None:
        """Takes the copy that the next restore uses."""
        with self._changed:
            self._copy = self._rows.copy()

    def restore(self) -> None:
        """Puts the last copy in place of the rows, and begins an era.

        The operator writes again what was lost, a little later.
        """
        with self._changed:
            lost = self._rows.restore(self._copy)
            self.era = str(int(self.era or "0") + 1)
            self._changed.notify_all()
        timer = threading.Timer(REWRITE_DELAY_S, self._rewrite, args=(lost,))
        timer.daemon = True
        timer.start()

    def _rewrite(self, lost: dict[str, bytes]) -> None:
        with self._changed:
            for name, value in lost.items():
                table, _, key = name.partition("/")
                self._rows.write_operator(table, key, value)
            self._changed.notify_all()

    def write_operator(self, key: str, value: bytes) -> None:
        """Writes a row of the operator's table."""
        with self._changed:
            self._rows.write_operator(_OPERATOR_TABLE, key, value)
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Drops the history of changes."""
        with self._changed:
            self._rows.drop_history()
            self._changed.notify_all()

    def serve(self, request: exchange.Request) -> exchange.Reply:
        """Answers one call."""
        match request.method, request.path.split("/")[1]:
            case "POST", "rows-tx":
                return _encode(self._transact(request.body))
            case "GET", "rows-get":
                with self._changed:
                    return _encode(
                        self._rows.read(request.query, _read_clock_ms())
                    )
            case "GET", "rows-parts":
                with self._changed:
                    return _encode(
                        self._rows.list_parts(request.query, _read_clock_ms())
                    )
            case "GET", "rows-feed":
                return _encode(self._wait_for_changes(request.query))
            case _:
                return self._serve_blob(request)

    def _transact(self, content: bytes) -> rows.Reply:
        with self._changed:
            reply = self._rows.transact(content, _read_clock_ms())
            self._changed.notify_all()
            return reply

    def _wait_for_changes(self, query: dict[str, str]) -> rows.Reply:
        wait_ms = min(int(query.get("waitMs", "0")), MAX_WAIT_MS)
        deadline_ms = _read_clock_ms() + wait_ms
        with self._changed:
            while True:
                now_ms = _read_clock_ms()
                reply = self._rows.read_changes(query, now_ms)
                if reply is not None:
                    return reply
                if now_ms >= deadline_ms:
                    return self._rows.make_empty_reply(now_ms)
                self._changed.wait((deadline_ms - now_ms) / _MS_PER_S)

    def _serve_blob(self, request: exchange.Request) -> exchange.Reply:
        _, _, name = request.path.lstrip("/").partition("/")
        with self._changed:
            match request.method, request.path.split("/")[1]:
                case "PUT", "blob-put":
                    return self._put_blob(name, request)
                case "GET", "blob-get" if name in self._blobs:
                    return exchange.Reply(
                        status=http.HTTPStatus.OK, body=self._blobs[name]
                    )
                case "DELETE", "blob-drop":
                    self._blobs.pop(name, None)
                    return exchange.Reply(status=http.HTTPStatus.OK)
                case "GET", "blob-list":
                    return self._list_blobs(request.query)
        return exchange.Reply(status=http.HTTPStatus.NOT_FOUND)

    def _put_blob(self, name: str, request: exchange.Request) -> exchange.Reply:
        # `known_revision` is the header If-None-Match, which is `*` when the
        # blob must not exist yet.
        if request.known_revision == "*" and name in self._blobs:
            return exchange.Reply(status=http.HTTPStatus.PRECONDITION_FAILED)
        stored_bytes = sum(map(len, self._blobs.values()))
        if stored_bytes + len(request.body) > MAX_STORED_BYTES:
            return exchange.Reply(status=http.HTTPStatus.INSUFFICIENT_STORAGE)
        self._blobs[name] = request.body
        return exchange.Reply(status=http.HTTPStatus.OK)

    def _list_blobs(self, query: dict[str, str]) -> exchange.Reply:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        names = sorted(
            name
            for name in self._blobs
            if name.startswith(prefix) and name > after
        )
        body = {
            "names": names[:MAX_LISTED_BLOBS],
            "hasMore": len(names) > MAX_LISTED_BLOBS,
        }
        return exchange.Reply(
            status=http.HTTPStatus.OK, body=msgspec.json.encode(body)
        )


def _encode(reply: rows.Reply) -> exchange.Reply:
    return exchange.Reply(
        status=reply.status, body=msgspec.json.encode(reply.body)
    )


def _read_clock_ms() -> int:
    return time.monotonic_ns() // 1_000_000

"""Reads an HTTP response completely and validates its framing."""

import http.client
import io
import re

from rhubarblead.upstream import headers

MAX_HEAD_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 256
MAX_INTERIM_RESPONSES = 8

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([^\r\n]*))?")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
_END_OF_HEAD = b"\r\n\r\n"
_BODILESS = frozenset({204, 304})


class ResponseTooLarge(Exception):
    """The body of a response is larger than the caller accepts."""


class Response(http.client.HTTPResponse):
    """An HTTP response that is read completely and parsed strictly.

    `http.client` parses header fields with the e-mail parser, which takes most
    of the CPU time of a small request, and accepts malformed framing in several
    cases. The connection owns the reader, so that surplus bytes after the
    response aren't discarded with a buffer.
    """

    def __init__(self, *, reader: io.BufferedReader, method: str) -> None:
        # The base class is not initialised: it would open a file on the socket
        # and close it on destruction, but the connection owns this reader.
        self.fp = reader
        self._reader = reader
        self._is_head = method == "HEAD"
        self.fields: headers.ResponseHead

    def __del__(self) -> None:
        """Does not close the reader, which the connection owns."""

    def begin(self) -> None:
        """Reads the status line and headers, and skips interim responses.

        Raises:
            http.client.HTTPException: The connection was closed, or the head is
                too long.
            headers.CannotRead: The head is malformed.
            OSError: The connection failed or the deadline has passed.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            self._read_head()
            if self.status >= 200:
                return
            if self.status == http.client.SWITCHING_PROTOCOLS:
                break
        raise headers.CannotRead(f"unexpected interim answer {self.status}")

    def read_body(self, max_bytes: int) -> bytes:
        """Reads the complete body.

        Args:
            max_bytes: Maximum size of the body.

        Returns:
            The complete body.

        Raises:
            AnswerTooLarge: The body is larger than `max_bytes`.
            http.client.IncompleteRead: The connection was closed before the end
                of the body.
            headers.CannotRead: The framing is malformed, or doesn't delimit the
                body.
            OSError: The connection failed or the deadline has passed.
        """
        if self._is_head or self.status in _BODILESS:
            return b""
        if self.fields.is_chunked:
            return self._read_chunks(max_bytes)
        length = self.fields.length
        if length is None:
            raise headers.CannotRead("no length shows the end of the answer")
        if length > max_bytes:
            raise ResponseTooLarge(f"{length} bytes")
        return self._read_exactly(length)

    def _read_head(self) -> None:
        head = self._read_head_bytes()
        line, _, block = head[:-2].partition(b"\r\n")
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise headers.CannotRead("the status line is malformed")
        minor, status, reason = match.groups()
        self.version = 11 if minor == b"1" else 10
        self.status = self.code = int(status)
        self.reason = (reason or b"").decode("latin-1")
        self.fields = headers.read_fields(block, is_head=self._is_head)
        self.will_close = self.fields.is_closing or self.version == 10

    def _read_head_bytes(self) -> bytes:
        buffered = self._reader.peek()
        end = buffered.find(_END_OF_HEAD)
        if end >= 0:
            return self._reader.read(end + len(_END_OF_HEAD))
        lines = []
        room_bytes = MAX_HEAD_BYTES
        while room_bytes > 0:
            line = self._reader.readline(room_bytes)
            if not line:
                raise http.client.RemoteDisconnected("ended before its head")
            lines.append(line)
            room_bytes -= len(line)
            if line == b"\r\n":
                return b"".join(lines)
        raise http.client.LineTooLong("head")

    def _read_chunks(self, max_bytes: int) -> bytes:
        chunks = []
        room_bytes = max_bytes
        while size_bytes := self._read_chunk_size():
            room_bytes -= size_bytes
            if room_bytes < 0:
                raise ResponseTooLarge(f"more than {max_bytes} bytes")
            chunks.append(self._read_exactly(size_bytes))
            if self._read_exactly(2) != b"\r\n":
                raise headers.CannotRead("a chunk is longer than stated")
        self._skip_trailer()
        return b"".join(chunks)

    def _read_chunk_size(self) -> int:
        line = self._read_line(MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise headers.CannotRead("a chunk size is malformed")
        return int(match[1], 16)

    def _skip_trailer(self) -> None:
        room_bytes = MAX_HEAD_BYTES
        while (line := self._read_line(room_bytes)) != b"\r\n":
            room_bytes -= len(line)
            if room_bytes <= 0:
                raise http.client.LineTooLong("trailer")

    def _read_line(self, max_bytes: int) -> bytes:
        line = self._reader.readline(max_bytes)
        if not line.endswith(b"\n") and len(line) < max_bytes:
            raise http.client.IncompleteRead(line)
        return line

    def _read_exactly(self, size_bytes: int) -> bytes:
        data = self._reader.read(size_bytes)
        if len(data) < size_bytes:
            raise http.client.IncompleteRead(data, size_bytes - len(data))
        return data

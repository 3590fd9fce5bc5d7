"""Reads an HTTP response completely and validates its framing."""

import http.client
import io
import re

from rhubarblead import response_format
from rhubarblead.upstream import headers

MAX_HEAD_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 256
MAX_INTERIM_RESPONSES = 8

_STATUS_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: ([^\r\n]*))?")
_CHUNK_SIZE = re.compile(
    rb"([0-9A-Fa-f]{1,15})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
_END_OF_HEAD = b"\r\n\r\n"
_END_OF_LINE = b"\r\n"


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
        self._method = method.encode()
        self._framing = response_format.Framing.CLOSE
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
        for skipped_count in range(MAX_INTERIM_RESPONSES + 1):
            self._read_head(is_first=not skipped_count)
            if self.status >= response_format.FINAL_STATUS:
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
        match self._framing:
            case response_format.Framing.NO_BODY:
                return b""
            case response_format.Framing.CHUNKS:
                return self._read_chunks(max_bytes)
            case response_format.Framing.CLOSE:
                raise headers.CannotRead(
                    "no length shows the end of the answer"
                )
        length = self.fields.length
        if length is None or length > max_bytes:
            raise ResponseTooLarge(f"{length} bytes")
        return self._read_exactly(length)

    def _read_head(self, *, is_first: bool) -> None:
        head = self._read_head_bytes()[:-4]
        if head.count(_END_OF_LINE) > response_format.MAX_FIELD_COUNT:
            raise http.client.LineTooLong("head")
        line, *lines = head.split(_END_OF_LINE)
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise headers.CannotRead("the status line is malformed")
        version, status, reason = match.groups()
        self.version = 11 if version == b"1.1" else 10
        self.status = self.code = int(status)
        self.reason = (reason or b"").decode("latin-1")
        try:
            fields = [response_format.split_field(item) for item in lines]
            self._framing = response_format.find_framing(
                response_format.Head(
                    version=version.decode(),
                    status=self.status,
                    reason=reason or b"",
                    fields=fields,
                    is_first=is_first,
                ),
                method=self._method,
            )
        except response_format.CannotAccept as error:
            raise headers.CannotRead(str(error)) from error
        self.fields = headers.read_fields(
            fields, is_head=self._method == b"HEAD"
        )
        self.will_close = self.fields.is_closing or self.version == 10

    def _read_head_bytes(self) -> bytes:
        buffered = self._reader.peek()
        end = buffered.find(_END_OF_HEAD)
        if end >= 0:
            return self._reader.read(end + len(_END_OF_HEAD))
        head = bytearray()
        while len(head) < MAX_HEAD_BYTES:
            line = self._reader.readline(MAX_HEAD_BYTES - len(head))
            if not line:
                raise http.client.RemoteDisconnected("ended before its head")
            head += line
            if line == _END_OF_LINE:
                return bytes(head)
            if len(head) < MAX_HEAD_BYTES and not line.endswith(_END_OF_LINE):
                raise headers.CannotRead("a line of the head is malformed")
        raise http.client.LineTooLong("head")

    def _read_chunks(self, max_bytes: int) -> bytes:
        body = bytearray()
        while size_bytes := self._read_chunk_size():
            if len(body) + size_bytes > max_bytes:
                raise ResponseTooLarge(f"more than {max_bytes} bytes")
            body += self._read_exactly(size_bytes)
            if self._read_exactly(2) != b"\r\n":
                raise headers.CannotRead("a chunk is longer than stated")
        self._skip_trailer()
        return bytes(body)

    def _read_chunk_size(self) -> int:
        line = self._read_line(MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise headers.CannotRead("a chunk size is malformed")
        return int(match[1], 16)

    def _skip_trailer(self) -> None:
        room_bytes = MAX_HEAD_BYTES
        while (line := self._read_line(room_bytes)) != _END_OF_LINE:
            room_bytes -= len(line)
            if room_bytes <= 0:
                raise http.client.LineTooLong("trailer")
            if not line.endswith(_END_OF_LINE):
                raise headers.CannotRead("a trailer is malformed")
            try:
                field = response_format.split_field(line[:-2])
                response_format.check_trailer([field])
            except response_format.CannotAccept as error:
                raise headers.CannotRead(str(error)) from error

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

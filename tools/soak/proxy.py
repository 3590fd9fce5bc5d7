"""A loopback proxy that can delay, reset, silence or refuse connections."""

import contextlib
import enum
import socket
import struct
import threading

_CHUNK_BYTES = 65_536
_POLL_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How the proxy treats all connections, including open ones."""

    PASS = "pass"
    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    SLOW = "slow"


SLOW_DELAY_S = 0.25
"""Delay of each chunk in the mode SLOW."""


class Proxy:
    """Forwards the connections of one listening address to a target."""

    def __init__(
        self, *, ip: str, port: int, target_ip: str, target_port: int
    ) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        self.mode = Mode.PASS
        self._target = (target_ip, target_port)
        self._is_closed = threading.Event()
        self._listener = socket.create_server((ip, port), backlog=64)
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops listening; all connections are reset soon after."""
        self._is_closed.set()
        # Closing the socket alone doesn't wake a thread blocked in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_closed.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.mode is Mode.REFUSE:
                _reset(client)
                continue
            self._connect(client)

    def _connect(self, client: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            _reset(client)
            return
        # Set before the threads start, as each of them may close both sockets.
        client.settimeout(_POLL_S)
        target.settimeout(_POLL_S)
        for source, sink, is_response in (
            (client, target, False),
            (target, client, True),
        ):
            threading.Thread(
                target=self._forward,
                args=(source, sink, is_response),
                daemon=True,
            ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while self._forward_chunk(source, sink, is_response):
                pass
        _reset(source)
        _reset(sink)

    def _forward_chunk(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> bool:
        """Forwards one chunk; returns False when the connection ends."""
        if self._is_closed.is_set() or self.mode in (Mode.RESET, Mode.REFUSE):
            return False
        try:
            chunk = source.recv(_CHUNK_BYTES)
        except TimeoutError:
            return True
        if not chunk:
            return False
        is_dropped = self.mode is Mode.SILENT
        if is_dropped or (self.mode is Mode.ONE_WAY and is_response):
            # A dropped chunk leaves a gap in the stream, so the connection
            # stays silent until the proxy closes.
            self._is_closed.wait()
            return False
        if self.mode is Mode.SLOW:
            self._is_closed.wait(SLOW_DELAY_S)
        sink.sendall(chunk)
        return True


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        connection.close()

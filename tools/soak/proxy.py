"""A loopback proxy that delays, resets, silences or refuses connections."""

import contextlib
import enum
import socket
import struct
import threading

_CHUNK_BYTES = 65_536
_POLL_S = 0.05
_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to all connections, also to those that are open."""

    PASS = "pass"
    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    SLOW = "slow"


SLOW_S = 0.25
"""Added to each piece in the mode SLOW."""


class Proxy:
    """One listening address, whose connections go on to a target."""

    def __init__(
        self, *, ip: str, port: int, target_ip: str, target_port: int
    ) -> None:
        """Begins to listen.

        Raises:
            OSError: The address can't be used.
        """
        self.mode = Mode.PASS
        self._target = (target_ip, target_port)
        self._is_closed = threading.Event()
        self._listener = socket.create_server((ip, port), backlog=64)
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Closes the address and, soon after, all connections."""
        self._is_closed.set()
        # A close alone doesn't wake a thread that waits in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_closed.is_set():
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            if self.mode is Mode.REFUSE:
                _reset(caller)
                continue
            self._connect(caller)

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            _reset(caller)
            return
        # Before the threads begin: each of them may close both.
        caller.settimeout(_POLL_S)
        target.settimeout(_POLL_S)
        for source, sink, is_answer in (
            (caller, target, False),
            (target, caller, True),
        ):
            threading.Thread(
                target=self._pass, args=(source, sink, is_answer), daemon=True
            ).start()

    def _pass(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while self._pass_piece(source, sink, is_answer):
                pass
        _reset(source)
        _reset(sink)

    def _pass_piece(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> bool:
        """Passes one piece on; returns False when the connection ends."""
        if self._is_closed.is_set() or self.mode in (Mode.RESET, Mode.REFUSE):
            return False
        try:
            piece = source.recv(_CHUNK_BYTES)
        except TimeoutError:
            return True
        if not piece:
            return False
        is_lost = self.mode is Mode.SILENT
        if is_lost or (self.mode is Mode.ONE_WAY and is_answer):
            # What is lost once makes the connection silent for good.
            self._is_closed.wait()
            return False
        if self.mode is Mode.SLOW:
            self._is_closed.wait(SLOW_S)
        sink.sendall(piece)
        return True


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        connection.close()

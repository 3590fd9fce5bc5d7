"""Counts the bytes on the links to other nodes and to the store, by cause."""

import collections


class LinkTraffic:
    """Bytes sent and received since the process started, by kind of message."""

    __slots__ = ("received_bytes", "sent_bytes")

    def __init__(self) -> None:
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()

    def record_sent(self, kind: str, size_bytes: int) -> None:
        """Records a message that was sent."""
        self.sent_bytes[kind] += size_bytes

    def record_received(self, kind: str, size_bytes: int) -> None:
        """Records a message that was received."""
        self.received_bytes[kind] += size_bytes

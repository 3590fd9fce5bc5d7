"""Collects a body that arrives in parts."""

MIN_PART_BYTES = 4_096
"""Smaller parts are joined; each one costs some 40 bytes beside its own."""


class BodyBuffer:
    """A body that is incomplete so far; `size_bytes` is what it has."""

    __slots__ = ("_parts", "_small_parts", "size_bytes")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._small_parts = bytearray()
        self.size_bytes = 0

    def append(self, part: bytes) -> None:
        """Adds the next part."""
        self.size_bytes += len(part)
        if not self._small_parts and len(part) >= MIN_PART_BYTES:
            self._parts.append(part)
            return
        self._small_parts += part
        if len(self._small_parts) >= MIN_PART_BYTES:
            self._flush()

    def join(self) -> bytes:
        """Returns the body."""
        self._flush()
        return b"".join(self._parts)

    def clear(self) -> None:
        """Drops what was collected."""
        self._parts = []
        self._small_parts = bytearray()
        self.size_bytes = 0

    def _flush(self) -> None:
        if self._small_parts:
            self._parts.append(bytes(self._small_parts))
            self._small_parts = bytearray()

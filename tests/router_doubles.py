"""Test doubles for the parts of a router."""

from typing import Any

from rhubarblead.router import wire


class SilentEventLog:
    """An event log that discards all events."""

    def emit(self, event: Any, **fields: Any) -> None:  # noqa: ANN401
        """Discards an event."""


class RecordingLinks:
    """Links that record what is broadcast, and drop all else."""

    def __init__(self) -> None:
        self.broadcasts: list[wire.Message] = []

    def connect(self, node_id: str, address: str) -> None:
        """Does nothing."""

    def send(self, node_id: str, message: wire.Message) -> bool:
        """Returns that the message wasn't sent."""
        del node_id, message
        return False

    def broadcast(self, message: wire.Message) -> None:
        """Records a message."""
        self.broadcasts.append(message)


def make_state(
    node_id: str, service: str, *, incarnation: str = "i"
) -> wire.State:
    """Makes the state of a node whose server accepts requests."""
    return wire.State(
        node_id=node_id,
        incarnation=incarnation,
        address="127.0.0.1:1",
        failure_domain="d",
        service=service,
        born_ms=1,
        is_serving=True,
        is_stopping=False,
        slot_count=9,
        assignments={},
        load=wire.ServerLoad(),
    )

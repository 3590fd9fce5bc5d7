"""Waiting for signals in the main thread."""

import threading

POLL_S = 0.1
"""Longest delay until a signal is handled; a planned stop has seconds."""


def wait_for(event: threading.Event) -> None:
    """Waits in the main thread for an event that a signal handler sets.

    The kernel may deliver a signal to any thread, but Python runs handlers in
    the main thread only, which a wait without timeout would not leave.

    Args:
        event: The event.
    """
    while not event.wait(POLL_S):
        continue

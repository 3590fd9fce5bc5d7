"""Shows from the logs of a day how many retries all nodes have sent together.

Each node knows only its own part of the limit on retries to a service; whether
the sum keeps the limit shows here.
"""

import collections
from collections.abc import Iterable
import dataclasses

from tools.bench import log_lines

WINDOW_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peak:
    """The window with the most retries to a service.

    `allowed_count` sums what each node was allowed when it sent its last
    retry of the window.
    """

    ends_ms: float
    retry_count: int
    allowed_count: float


def find_peaks(
    lines: Iterable[str], *, window_ms: int = WINDOW_MS
) -> dict[str, Peak]:
    """Finds the window with the most retries of all nodes, by service.

    Args:
        lines: Printed logs of all nodes of a day.
        window_ms: Length of a window.
    """
    peaks: dict[str, Peak] = {}
    recent: dict[str, collections.deque[tuple[float, str, float]]] = {}
    for at_ms, instance, event in log_lines.read(lines):
        if event.get("event") != "REQUEST_SENT_AGAIN":
            continue
        service = str(event.get("service"))
        window = recent.setdefault(service, collections.deque())
        window.append((at_ms, instance, float(event.get("allowed_count", 0))))
        while window[0][0] <= at_ms - window_ms:
            window.popleft()
        if service not in peaks or len(window) > peaks[service].retry_count:
            latest = {node: allowed for _, node, allowed in window}
            peaks[service] = Peak(
                ends_ms=at_ms,
                retry_count=len(window),
                allowed_count=sum(latest.values()),
            )
    return peaks

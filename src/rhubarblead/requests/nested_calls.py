"""Estimates which nested calls a run at a server makes."""

MIN_RUN_COUNT = 10
"""Runs from which on there is an estimate."""

MAX_RUN_COUNT = 200
"""Runs after which older ones count half; a busy server has them in 10 s."""


class NestedCalls:
    """Counts the runs at the local server, and the calls that it makes.

    The runs of nested calls themselves don't count, as they rarely make calls
    of their own.
    """

    __slots__ = ("_call_counts", "_run_count")

    def __init__(self) -> None:
        """Creates an estimate without any runs."""
        self._run_count = 0.0
        self._call_counts: dict[str, float] = {}

    def record_run(self) -> None:
        """Counts a run of a caller's request at the server."""
        self._run_count += 1
        if self._run_count > MAX_RUN_COUNT:
            self._run_count /= 2
            for service in self._call_counts:
                self._call_counts[service] /= 2

    def record_call(self, service: str) -> None:
        """Counts a call of the server to a service."""
        self._call_counts[service] = self._call_counts.get(service, 0.0) + 1

    def find_per_run(self) -> dict[str, float]:
        """Returns the calls per run by called service, empty if unknown."""
        if self._run_count < MIN_RUN_COUNT:
            return {}
        return {
            service: count / self._run_count
            for service, count in self._call_counts.items()
        }

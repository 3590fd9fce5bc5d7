"""Decisions on the state of an upstream, from what it says and doesn't say."""

from typing import Annotated
from typing import Literal
from typing import TypeAlias
from typing import TypeVar

import msgspec

from rhubarblead import settings
from rhubarblead.charts import chart

_CHART = chart.load_chart("upstream")
_SERVING_STATES = frozenset({"cold", "serving"})
_ANNOUNCEMENT_TIMEOUT_MS = 2_500
_UNKNOWN_MS = 0

_T = TypeVar("_T")
_Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
_Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class CannotDecode(Exception):
    """An upstream sent something that breaks the contract."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream tells the node beside it, again and again."""

    server: _Name
    ip_address: _Name
    port: _Port
    incarnation: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10**6)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=10**6)]
    is_fenced: bool
    state: Literal["serving", "draining"]


class Health(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a health probe; `clock_ms` is its monotonic clock."""

    server: _Name
    incarnation: _Name
    state: Literal["cold", "serving", "draining"]
    clock_ms: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a load probe, in requests; it may lag or mislead."""

    in_flight: _Count
    slots: _Count
    queued: _Count


def decode_announcement(text: bytes) -> Announcement:
    """Decodes an announcement.

    Args:
        text: The JSON text.

    Returns:
        The announcement.

    Raises:
        CannotDecode: The text is none.
    """
    return _decode(text, Announcement)


def decode_health(text: bytes) -> Health:
    """Decodes a health answer; errors as for `decode_announcement`."""
    return _decode(text, Health)


def decode_load(text: bytes) -> Load:
    """Decodes a load answer; errors as for `decode_announcement`."""
    return _decode(text, Load)


def _decode(text: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError as error:
        raise CannotDecode(f"{kind.__name__}: {error}") from error


class Monitor:
    """Follows one upstream; times are on the node's monotonic clock."""

    __slots__ = (
        "_announced_at_ms",
        "_answered_at_ms",
        "_clock_offset_ms",
        "_failure_count",
        "_incarnation",
        "_is_announced_draining",
        "_sample_rtt_ms",
        "_settings",
        "_state",
    )

    def __init__(self, *, upstream: settings.Upstream) -> None:
        self._settings = upstream
        self._state = _CHART.initial
        self._incarnation = ""
        self._announced_at_ms = _UNKNOWN_MS
        self._answered_at_ms = _UNKNOWN_MS
        self._is_announced_draining = False
        self._failure_count = 0
        self._clock_offset_ms: int | None = None
        self._sample_rtt_ms = 0

    def find_state(self) -> str:
        """Finds the state in the chart `upstream`."""
        return self._state

    def record_announcement(
        self, announcement: Announcement, now_ms: int
    ) -> None:
        """Takes an announcement; a new incarnation begins from nothing."""
        self._announced_at_ms = now_ms
        if announcement.incarnation != self._incarnation:
            self._incarnation = announcement.incarnation
            self._reset()
        self._is_announced_draining = announcement.state == "draining"
        if self._is_announced_draining:
            self._apply_event("draining")

    def record_health(
        self, health: Health, sent_at_ms: int, received_at_ms: int
    ) -> None:
        """Takes the answer to a probe.

        Args:
            health: The answer; one of another incarnation is ignored.
            sent_at_ms: When the probe was sent.
            received_at_ms: When its answer came.
        """
        if health.incarnation != self._incarnation:
            return
        self._failure_count = 0
        self._update_clock_offset(health.clock_ms, sent_at_ms, received_at_ms)
        is_draining = self._is_announced_draining or health.state == "draining"
        self._apply_event("draining" if is_draining else health.state)

    def record_answer(self, now_ms: int) -> None:
        """Takes note of a whole answer to a request; needs no lock."""
        self._answered_at_ms = now_ms

    def record_probe_failure(self, now_ms: int) -> None:
        """Takes note of a probe without a good answer.

        A server that answers requests is not silent: a probe may fail on a
        busy one.
        """
        if now_ms - self._answered_at_ms <= self._find_answer_validity_ms():
            self._failure_count = 0
            return
        self._failure_count += 1
        if self._failure_count >= self._settings.probe_failures:
            self._apply_event("silent")

    def is_suspect(self) -> bool:
        """Tells whether the last probe failed, and no answer speaks for it."""
        return self._failure_count > 0

    def is_serving(self, now_ms: int) -> bool:
        """Tells whether the upstream should get new work."""
        if now_ms - self._announced_at_ms > _ANNOUNCEMENT_TIMEOUT_MS:
            return False
        return self._state in _SERVING_STATES

    def convert_to_upstream_ms(self, moment_ms: int) -> int:
        """Converts a moment to the upstream's clock.

        Args:
            moment_ms: On the node's monotonic clock.

        Returns:
            A time on the upstream's clock that is not later than the moment;
            0 while nothing is known of that clock.
        """
        if self._clock_offset_ms is None:
            return _UNKNOWN_MS
        return moment_ms + self._clock_offset_ms

    def _find_answer_validity_ms(self) -> int:
        return self._settings.probe_ms + self._settings.probe_timeout_ms

    def _update_clock_offset(
        self, clock_ms: int, sent_at_ms: int, received_at_ms: int
    ) -> None:
        # The clock was read after the sending, so that the gap from the
        # receipt errs on the early side, by the width of the sample at most.
        # Clocks drift: the newest sample counts, unless it took much longer.
        rtt_ms = received_at_ms - sent_at_ms
        is_worse = rtt_ms > 2 * self._sample_rtt_ms + 1
        if self._clock_offset_ms is not None and is_worse:
            self._sample_rtt_ms += 1
            return
        self._sample_rtt_ms = rtt_ms
        self._clock_offset_ms = clock_ms - received_at_ms

    def _reset(self) -> None:
        self._state = _CHART.follow(self._state, "replaced")
        self._failure_count = 0
        self._clock_offset_ms = None
        self._sample_rtt_ms = 0

    def _apply_event(self, event: str) -> None:
        # A server that drains doesn't come back under the same incarnation.
        if self._state == "draining" and event in _SERVING_STATES:
            return
        self._state = _CHART.follow(self._state, event)

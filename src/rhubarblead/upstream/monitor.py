"""Tracks the state of an upstream from announcements, probes and responses."""

from typing import Annotated
from typing import Literal
from typing import TypeAlias
from typing import TypeVar

import msgspec

from rhubarblead import decoding
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
    """A message of an upstream violates the contract."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A message that an upstream sends to its node periodically."""

    server: _Name
    ip_address: _Name
    port: _Port
    incarnation: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10**6)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=10**6)]
    is_fenced: bool
    state: Literal["serving", "draining"]


class Health(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a health probe; `clock_ms` is on the upstream's clock."""

    server: _Name
    incarnation: _Name
    state: Literal["cold", "serving", "draining"]
    clock_ms: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a load probe, in requests; it may be outdated or wrong."""

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
        CannotDecode: The text is not a valid announcement.
    """
    return _decode(text, Announcement)


def decode_health(text: bytes) -> Health:
    """Decodes a health response; errors as for `decode_announcement`."""
    return _decode(text, Health)


def decode_load(text: bytes) -> Load:
    """Decodes a load response; errors as for `decode_announcement`."""
    return _decode(text, Load)


def _decode(text: bytes, kind: type[_T]) -> _T:
    try:
        return decoding.decode_json(text, kind)
    except msgspec.DecodeError as error:
        raise CannotDecode(f"{kind.__name__}: {error}") from error


class Monitor:
    """Tracks one upstream; times are on the node's monotonic clock."""

    __slots__ = (
        "_announced_at_ms",
        "_last_response_at_ms",
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
        self._last_response_at_ms = _UNKNOWN_MS
        self._is_announced_draining = False
        self._failure_count = 0
        self._clock_offset_ms: int | None = None
        self._sample_rtt_ms = 0

    def find_state(self) -> str:
        """Returns the state in the state chart `upstream`."""
        return self._state

    def record_announcement(
        self, announcement: Announcement, now_ms: int
    ) -> None:
        """Records an announcement; a new incarnation resets the state."""
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
        """Records the response to a health probe.

        Args:
            health: The response, ignored if it is from another incarnation.
            sent_at_ms: When the probe was sent.
            received_at_ms: When the response was received.
        """
        if health.incarnation != self._incarnation:
            return
        self._failure_count = 0
        self._update_clock_offset(health.clock_ms, sent_at_ms, received_at_ms)
        is_draining = self._is_announced_draining or health.state == "draining"
        self._apply_event("draining" if is_draining else health.state)

    def record_response(self, now_ms: int) -> None:
        """Records a complete response to a request; needs no lock."""
        self._last_response_at_ms = now_ms

    def record_probe_failure(self, now_ms: int) -> None:
        """Records a probe without a valid response.

        The failure is ignored while the server answers requests, as probes may
        fail on a busy server.
        """
        if (
            now_ms - self._last_response_at_ms
            <= self._find_response_validity_ms()
        ):
            self._failure_count = 0
            return
        self._failure_count += 1
        if self._failure_count >= self._settings.probe_failures:
            self._apply_event("silent")

    def is_suspect(self) -> bool:
        """Returns whether the last probe failed without a recent response."""
        return self._failure_count > 0

    def is_serving(self, now_ms: int) -> bool:
        """Returns whether the upstream should get new requests."""
        if now_ms - self._announced_at_ms > _ANNOUNCEMENT_TIMEOUT_MS:
            return False
        return self._state in _SERVING_STATES

    def convert_to_upstream_ms(self, local_ms: int) -> int:
        """Converts a time to the upstream's clock.

        Args:
            local_ms: Time on the node's monotonic clock.

        Returns:
            A time on the upstream's clock that is not later than `local_ms`;
            0 while the clock offset is unknown.
        """
        if self._clock_offset_ms is None:
            return _UNKNOWN_MS
        return local_ms + self._clock_offset_ms

    def _find_response_validity_ms(self) -> int:
        return self._settings.probe_ms + self._settings.probe_timeout_ms

    def _update_clock_offset(
        self, clock_ms: int, sent_at_ms: int, received_at_ms: int
    ) -> None:
        # The upstream reads its clock after the probe was sent. The offset from
        # the time of receipt thus errs early, by one round trip at most. As
        # clocks drift, the newest sample is used unless its round trip is much
        # longer; the limit grows with each sample that is dropped.
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
        # A draining server never returns to service in the same incarnation.
        if self._state == "draining" and event in _SERVING_STATES:
            return
        self._state = _CHART.follow(self._state, event)

"""Decides which load reports are worth sending.

Answers hundreds of nodes at rest, which otherwise tell each other every second
that nothing has changed.
"""

from collections.abc import Mapping

from rhubarblead.router import wire

MIN_SHARE_CHANGE = 0.2
"""Relative change of a value that other nodes should know of."""

MIN_LOAD_CHANGE = 50
"""Change of the load in use, per mille of the slots."""

MIN_TIME_CHANGE_MS = 20
"""Change of a service time; a hop to another node costs 4 ms."""


MIN_CALL_CHANGE = 0.2
"""Change of the nested calls per run, a small part of a retry."""


def is_worth_sending(previous: wire.ServerLoad, now: wire.ServerLoad) -> bool:
    """Returns whether other nodes would decide differently by a report.

    Waits fade with the age of a report, so that they are reported again while
    there are any.

    Args:
        previous: The report that was sent last.
        now: The present load.
    """
    has_wait = now.wait_ms or now.call_wait_ms or now.link_backlog_ms
    had_wait = (
        previous.wait_ms or previous.call_wait_ms or previous.link_backlog_ms
    )
    if has_wait or had_wait:
        return True
    if (previous.has_store, previous.config_version) != (
        now.has_store,
        now.config_version,
    ):
        return True
    return has_load_changed(previous, now) or _have_times_changed(
        previous.service_ms, now.service_ms
    )


def has_load_changed(previous: wire.ServerLoad, now: wire.ServerLoad) -> bool:
    """Returns whether nodes that may give or take keys would decide otherwise.

    Args:
        previous: The report that was sent last.
        now: The present load.
    """
    return _has_changed(
        previous.load_per_mille, now.load_per_mille, MIN_LOAD_CHANGE
    ) or _has_changed(previous.capacity_per_s, now.capacity_per_s, 1)


def have_calls_changed(previous: wire.ServerLoad, now: wire.ServerLoad) -> bool:
    """Returns whether runs make other nested calls than was reported.

    Args:
        previous: The report that was sent last.
        now: The present load.
    """
    return any(
        abs(count - previous.nested_calls.get(service, 0.0)) > MIN_CALL_CHANGE
        for service, count in now.nested_calls.items()
    )


def _has_changed(previous: int, now: int, least: int) -> bool:
    change = abs(now - previous)
    return change >= least and change > MIN_SHARE_CHANGE * previous


def _have_times_changed(
    previous: Mapping[str, int], now: Mapping[str, int]
) -> bool:
    if previous.keys() != now.keys():
        return True
    return any(
        _has_changed(previous[route], time_ms, MIN_TIME_CHANGE_MS)
        for route, time_ms in now.items()
    )

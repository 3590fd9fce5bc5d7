"""Waits until a revision of the tables is in force on every node."""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec
import result

from rhubarblead import membership
from rhubarblead import status
from rhubarblead.operate import admin
from rhubarblead.operate import fleet

_PATH = "/-/status"
_POLL_INTERVAL_MS = 100
_NO_REVISION = -1


class LaggingNode(msgspec.Struct, frozen=True, kw_only=True):
    """A node on which the revision isn't known to be in force.

    If the node's status can't be read, `tables_revision` is -1 and `fault`
    gives the reason.
    """

    instance: str
    authority: str
    tables_revision: int
    fault: str = ""


def wait_in_force(
    members: Sequence[membership.Member],
    *,
    revision: int,
    wait_ms: int,
    client: admin.AdminClient,
    read_now_ms: Callable[[], int],
    sleep_ms: Callable[[int], None],
) -> tuple[LaggingNode, ...]:
    """Polls the nodes until all have reached a revision, or until a timeout.

    Args:
        members: The members whose nodes are polled; only lagging ones are
            polled again.
        revision: The revision of the tables.
        wait_ms: Timeout in milliseconds.
        client: Sends requests to single nodes.
        read_now_ms: Reads the monotonic clock in milliseconds.
        sleep_ms: Sleeps for a number of milliseconds.

    Returns:
        The lagging nodes; empty if the revision is in force everywhere.
    """
    deadline_ms = read_now_ms() + wait_ms
    views = [_make_view(member) for member in members]
    while True:
        lagging = _find_lagging(views, revision, client)
        if not lagging or read_now_ms() >= deadline_ms:
            return tuple(lagging.values())
        views = [view for view in views if view.member_id in lagging]
        sleep_ms(_POLL_INTERVAL_MS)


def _find_lagging(
    views: Sequence[status.MemberView],
    revision: int,
    client: admin.AdminClient,
) -> dict[str, LaggingNode]:
    nodes = fleet.Fleet(client=client, seed="")
    lagging = {}
    for found in nodes.query_each(views, _PATH, status.Status):
        node = _compare_revision(found, revision)
        if node is not None:
            lagging[found.member.member_id] = node
    return lagging


def _compare_revision(
    found: fleet.NodeResponse[status.Status], revision: int
) -> LaggingNode | None:
    match found.response:
        case result.Ok(response):
            if response.tables_revision >= revision:
                return None
            tables_revision, fault = response.tables_revision, ""
        case result.Err(failure):
            tables_revision, fault = _NO_REVISION, _describe_failure(failure)
    return LaggingNode(
        instance=found.member.instance,
        authority=fleet.format_authority(found.member),
        tables_revision=tables_revision,
        fault=fault,
    )


def _describe_failure(failure: admin.Failure) -> str:
    match failure:
        case admin.Unreachable(reason=reason):
            return reason
        case admin.Rejected(status=code, explanation=explanation):
            return f"{code} {explanation}"


def _make_view(member: membership.Member) -> status.MemberView:
    return status.MemberView(
        member_id=member.member_id,
        instance=member.instance,
        failure_domain=member.failure_domain,
        region=member.region,
        pool=member.pool,
        ip_address=member.ip_address,
        http_port=member.http_port,
    )

"""Holds a lease with the lease components alone, over any transport.

The holder and the granters do no I/O; they return the messages to send. Here
three granters respond immediately, until two of them stop and the lease
expires.

Usage: python -m examples.embedding.hold_lease
"""

from rhubarblead import membership
from rhubarblead import messages
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead.leases import granter
from rhubarblead.leases import holder

_REVISIONS = messages.Revisions(ownership=1, tables=0)
_GRANTERS = ("granter-1", "granter-2", "granter-3")
_STEP_MS = 100


def make_member(
    member_id: str, granters: tuple[str, ...] = ()
) -> membership.Member:
    """Creates a member; the lease components don't use its addresses."""
    return membership.Member(
        member_id=member_id,
        instance=member_id,
        incarnation="1",
        failure_domain="ipoh",
        region="my-central",
        pool="dispatch",
        ip_address="127.0.0.1",
        http_port=1,
        data_port=2,
        control_port=3,
        granters=granters,
        granters_epoch=1,
    )


def make_granters(
    state: ownership.State, lease: settings.Lease
) -> dict[str, granter.Granter]:
    """Creates granters that have applied a state listing them as members."""
    granters = {}
    for name in _GRANTERS:
        granters[name] = granter.Granter(member_id=name, lease=lease)
        granters[name].follow_state(state=state, now_ms=0)
    return granters


def run(lease: settings.Lease) -> list[str]:
    """Holds a lease for one second, then stops two granters.

    Args:
        lease: The lease settings.

    Returns:
        One line for each event.
    """
    owner = make_member("owner", _GRANTERS)
    members = [owner, *(make_member(name) for name in _GRANTERS)]
    state = ownership.State(
        revision=1, members={member.member_id: member for member in members}
    )
    granters = make_granters(state, lease)
    lease_holder = holder.Holder(
        member_id="owner", granters=_GRANTERS, granters_epoch=1, lease=lease
    )
    lines = []
    was_held = False
    for now_ms in range(0, 3_000, _STEP_MS):
        if now_ms == 1_000:
            del granters["granter-1"], granters["granter-2"]
            lines.append(f"{now_ms} ms: two granters stop")
        exchange_heartbeats(lease_holder, granters, now_ms)
        is_held = lease_holder.is_held(now_ms=now_ms)
        if is_held != was_held:
            change = "holds" if is_held else "ended"
            lines.append(f"{now_ms} ms: the lease {change}")
        was_held = is_held
    return lines


def exchange_heartbeats(
    lease_holder: holder.Holder,
    granters: dict[str, granter.Granter],
    now_ms: int,
) -> None:
    """Delivers the heartbeats that are due and the granters' promises."""
    due = lease_holder.list_heartbeats(now_ms=now_ms, revisions=_REVISIONS)
    for granter_id, heartbeat in due:
        target = granters.get(granter_id)
        if target is None:
            continue
        target.confirm_membership(as_of_ms=now_ms)
        promise = target.handle_heartbeat(
            heartbeat=heartbeat, now_ms=now_ms, revisions=_REVISIONS
        )
        lease_holder.record_promise(promise=promise, now_ms=now_ms)


if __name__ == "__main__":
    print("\n".join(run(settings.Lease())))

"""Steps for lease holders that count promises."""

import json

import behave
from behave import runner
import msgspec

from rhubarblead import messages
from rhubarblead import settings
from rhubarblead.leases import holder

_REVISIONS = messages.Revisions(ownership=1, tables=1)


def _promise(
    granter_id: str, heartbeat: messages.Heartbeat
) -> messages.Promise:
    return messages.Promise(
        granter_id=granter_id,
        member_id=heartbeat.member_id,
        granters_epoch=heartbeat.granters_epoch,
        sequence=heartbeat.sequence,
        sent_at_ms=heartbeat.sent_at_ms,
        is_granted=True,
        duration_ms=settings.Lease().duration_ms,
        revisions=_REVISIONS,
    )


@behave.given("the lease of a member with {count:d} granters")
def given_holder(context: runner.Context, count: int) -> None:
    context.holder = holder.Holder(
        member_id="m",
        granters=tuple(f"g{number}" for number in range(count)),
        granters_epoch=1,
        lease=settings.Lease(),
    )


@behave.when(
    "its heartbeats sent at {sent:d} are answered at {answered:d} by {names}"
)
def answer(
    context: runner.Context, sent: int, answered: int, names: str
) -> None:
    due = context.holder.list_heartbeats(now_ms=sent, revisions=_REVISIONS)
    for granter_id, heartbeat in due:
        if granter_id in names.split():
            context.holder.record_promise(
                promise=_promise(granter_id, heartbeat), now_ms=answered
            )


@behave.when(
    "its heartbeat sent at {sent:d} is answered with {field} set to {value}"
)
def answer_wrongly(
    context: runner.Context, sent: int, field: str, value: str
) -> None:
    due = context.holder.list_heartbeats(now_ms=sent, revisions=_REVISIONS)
    [(granter_id, heartbeat)] = due
    promise = msgspec.structs.replace(
        _promise(granter_id, heartbeat), **{field: json.loads(value)}
    )
    context.holder.record_promise(promise=promise, now_ms=sent + 10)


@behave.then("the lease ends at {end:d}")
def check_end(context: runner.Context, end: int) -> None:
    assert context.holder.find_lease_end_ms() == end

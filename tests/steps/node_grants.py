"""Steps for when a grant to the upstream ends."""

from unittest import mock

import behave
from behave import runner

from rhubarblead import clock
from rhubarblead.node import view

_NOW_MS = 1_000


@behave.given(
    'a shared view with grants of {grant:d} ms and a lease of "{name}" until'
    " {lease:d} at 1000"
)
def given_shared_view(
    context: runner.Context, grant: int, name: str, lease: int
) -> None:
    context.shared_view = view.SharedView(grant_ms=grant)
    if lease:
        context.shared_view.extend_lease(member_id=name, end_ms=lease)
    patched = mock.patch.object(
        clock, "read_monotonic_ms", return_value=_NOW_MS
    )
    context.read_ms = patched.start()
    context.add_cleanup(patched.stop)


@behave.when('the shared view handles "{events}"')
@behave.when('the shared view handles ""')
def when_handles(context: runner.Context, events: str = "") -> None:
    for event in events.split():
        name, _, moment = event.partition("@")
        context.read_ms.return_value = int(moment)
        if name == "stop":
            context.shared_view.stop_extending("m")
        else:
            context.shared_view.cap_grants(is_capped=name == "cap")
    context.read_ms.return_value = _NOW_MS


@behave.then(
    'the grant of "{name}" ends at {grant:d}, and is extended: {extended}'
)
def then_ends(
    context: runner.Context, name: str, grant: int, extended: str
) -> None:
    found = context.shared_view.find_grant_end_ms(name)
    assert found == grant, found
    is_extended = context.shared_view.find_grant_extension() is not None
    assert str(is_extended) == extended

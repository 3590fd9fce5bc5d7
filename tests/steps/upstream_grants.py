"""Steps for the grant checks of the upstream stand-in."""

from unittest import mock

import behave
from behave import runner

from tools.standins import upstream_state


@behave.given("a fenced upstream stand-in at {now:d} on its clock")
def given_standin(context: runner.Context, now: int) -> None:
    patched = mock.patch.object(
        upstream_state, "read_clock_ms", return_value=now
    )
    patched.start()
    context.add_cleanup(patched.stop)
    context.standin = upstream_state.State(
        options=upstream_state.Options(
            server="s",
            ip_address="127.0.0.1",
            port=1,
            slots=1,
            connections=1,
            is_fenced=True,
            cold_ms=0,
            service_ms=0,
            records="",
        )
    )


@behave.when(
    'a grant of "{name}" until {own:d} is extended for "{extended_id}" until'
    " {extended:d}"
)
def when_extended(
    context: runner.Context,
    name: str,
    own: int,
    extended_id: str,
    extended: int,
) -> None:
    context.grant = upstream_state.Grant(
        shard=1, fence=1, expires_ms=own, grant_id=name
    )
    if extended:
        context.standin.extend(extended_id, extended)


@behave.then(
    'the stand-in\'s start ends in "{start}" and its commit in "{commit}"'
)
def then_ends(context: runner.Context, start: str, commit: str) -> None:
    began = context.standin.begin("r", context.grant, 1000)
    found = began.value if isinstance(began, upstream_state.Reason) else "runs"
    assert found == start, found
    done = context.standin.commit(context.grant)
    found = done.value if isinstance(done, upstream_state.Reason) else "commits"
    assert found == commit, found

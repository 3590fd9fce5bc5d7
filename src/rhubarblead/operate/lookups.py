"""Commands that list members and leases, find owners and drain nodes."""

import urllib.parse

import msgspec
import result

from rhubarblead import status
from rhubarblead.operate import admin
from rhubarblead.operate import fleet
from rhubarblead.operate import outcome
from rhubarblead.operate import text_table


class LeaseLine(msgspec.Struct, frozen=True, kw_only=True):
    """The lease of one member, as reported by its own node."""

    instance: str
    member_id: str
    lease_left_ms: int
    granters_epoch: int
    granters: tuple[status.GranterView, ...]
    fault: str = ""


class Leases(msgspec.Struct, frozen=True, kw_only=True):
    """The leases of all members."""

    leases: tuple[LeaseLine, ...]


class LookupCommands:
    """Commands that query the nodes without changing anything."""

    __slots__ = ("_fleet",)

    def __init__(self, *, nodes: fleet.Fleet) -> None:
        self._fleet = nodes

    def list_members(self, *, is_json: bool) -> outcome.Outcome:
        """Lists the members."""
        match self._fleet.list_members():
            case result.Err(failure):
                return report_failure(failure)
            case result.Ok(members):
                pass
        if is_json:
            return outcome.Outcome(text=status.encode(members).decode())
        rows = [
            (
                member.member_id,
                member.instance,
                member.region,
                member.failure_domain,
                member.pool,
                fleet.format_authority(member),
                member.shards_owned_count,
                ",".join(member.granters),
            )
            for member in members.members
        ]
        headers = (
            "member",
            "instance",
            "region",
            "domain",
            "pool",
            "address",
            "shards",
            "granters",
        )
        table = text_table.format_table(headers, rows)
        return outcome.Outcome(
            text=f"{table}\n\nownership revision {members.ownership_revision}"
        )

    def find_owner(
        self, *, pool: str, key: str, is_json: bool
    ) -> outcome.Outcome:
        """Finds the owner of a key and the reason."""
        match self.query_owner(pool=pool, key=key):
            case result.Err(failure):
                return report_failure(failure)
            case result.Ok(found):
                pass
        if is_json:
            return outcome.Outcome(text=status.encode(found).decode())
        owner = (
            f"{found.owner} at {found.authority}" if found.owner else "nobody"
        )
        return outcome.Outcome(
            text=f"{owner}\nshard {found.shard}, fence {found.fence}, ownership"
            f" revision {found.ownership_revision}\n{found.why}"
        )

    def query_owner(
        self, *, pool: str, key: str
    ) -> result.Result[status.OwnerView, admin.Failure]:
        """Queries any node for the owner of a key."""
        query = urllib.parse.urlencode({"pool": pool, "key": key})
        return self._fleet.query_any(f"/-/owner?{query}", status.OwnerView)

    def list_leases(self, *, is_json: bool) -> outcome.Outcome:
        """Lists the lease and the granters of each member."""
        match self._fleet.list_members():
            case result.Err(failure):
                return report_failure(failure)
            case result.Ok(members):
                pass
        responses = self._fleet.query_each(
            members.members, "/-/status", status.Status
        )
        lines = [_make_lease(response) for response in responses]
        is_complete = not any(line.fault for line in lines)
        code = (
            outcome.ExitCode.OK if is_complete else outcome.ExitCode.UNREACHABLE
        )
        leases = Leases(leases=tuple(lines))
        text = (
            status.encode(leases).decode() if is_json else _format_leases(lines)
        )
        return outcome.Outcome(text=text, exit_code=code)


class DrainCommand:
    """Makes one node hand over its shards and accept no new work."""

    __slots__ = ("_client",)

    def __init__(self, *, client: admin.AdminClient) -> None:
        self._client = client

    def run(self, authority: str) -> outcome.Outcome:
        """Drains the node at `authority`, an `ip:port`."""
        match self._client.fetch(authority, "/-/drain", method="POST"):
            case result.Err(failure):
                return report_failure(failure)
        return outcome.Outcome(text=f"{authority} is draining")


class DrainDomainCommand:
    """Drains all nodes of a failure domain, each on its own."""

    __slots__ = ("_client", "_fleet")

    def __init__(
        self, *, client: admin.AdminClient, nodes: fleet.Fleet
    ) -> None:
        self._client = client
        self._fleet = nodes

    def run(self, failure_domain: str) -> outcome.Outcome:
        """Drains the nodes of the domain, and reports those that failed."""
        match self._fleet.list_members():
            case result.Err(failure):
                return report_failure(failure)
            case result.Ok(members):
                pass
        chosen = [
            member
            for member in members.members
            if member.failure_domain == failure_domain
        ]
        if not chosen:
            return outcome.reject_input(
                f"no member is in failure domain {failure_domain!r}"
            )
        drain = DrainCommand(client=self._client)
        results = [drain.run(fleet.format_authority(m)) for m in chosen]
        return outcome.Outcome(
            text="\n".join(item.text for item in results if item.text),
            exit_code=max(item.exit_code for item in results),
            diagnostics=tuple(
                line for item in results for line in item.diagnostics
            ),
        )


def report_failure(failure: admin.Failure) -> outcome.Outcome:
    """Makes the outcome of a command whose request to a node failed."""
    match failure:
        case admin.Unreachable():
            code = outcome.ExitCode.UNREACHABLE
        case admin.Rejected():
            code = outcome.ExitCode.BAD_INPUT
    return outcome.Outcome(exit_code=code, diagnostics=(str(failure),))


def _make_lease(response: fleet.NodeResponse[status.Status]) -> LeaseLine:
    match response.response:
        case result.Err(failure):
            return LeaseLine(
                instance=response.member.instance,
                member_id=response.member.member_id,
                lease_left_ms=0,
                granters_epoch=response.member.granters_epoch,
                granters=(),
                fault=str(failure),
            )
        case result.Ok(found):
            return LeaseLine(
                instance=found.instance,
                member_id=found.member_id,
                lease_left_ms=found.lease_left_ms,
                granters_epoch=found.granters_epoch,
                granters=found.granters,
            )


def _format_leases(lines: list[LeaseLine]) -> str:
    rows = [
        (
            line.instance,
            line.member_id,
            line.lease_left_ms,
            line.granters_epoch,
            ", ".join(_format_granter(granter) for granter in line.granters)
            or line.fault,
        )
        for line in lines
    ]
    headers = ("instance", "member", "left ms", "epoch", "granters")
    return text_table.format_table(headers, rows)


def _format_granter(granter: status.GranterView) -> str:
    if granter.promise_age_ms < 0:
        return granter.member_id
    return f"{granter.member_id} ({granter.promise_age_ms} ms ago)"

"""Where a command finds the nodes: through one of them, or the platform."""

import contextlib
import dataclasses

import result

from rhubarblead import faults
from rhubarblead import ownership
from rhubarblead import settings
from rhubarblead import status
from rhubarblead.operate import admin
from rhubarblead.operate import fleet
from rhubarblead.operate import outcome
from rhubarblead.operate import tables
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store

_READER = "operator"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """What the command line names; one of both is empty.

    `node` is any node as `ip:port`, `platform` the table service as `ip:port`.
    """

    node: str
    platform: str


def find_fleet(
    start: Start, client: admin.AdminClient
) -> result.Result[fleet.Fleet, outcome.Outcome]:
    """Finds the nodes.

    Args:
        start: What the command line names.
        client: Asks single nodes.

    Returns:
        The nodes, or the outcome of the command that can't find them.
    """
    if start.platform and start.node:
        return result.Err(outcome.refuse("give --node or --platform, not both"))
    if start.platform:
        return _read_platform(start.platform, client)
    match admin.check_authority(start.node):
        case result.Err(complaint):
            return result.Err(outcome.refuse(f"--node: {complaint}"))
    return result.Ok(fleet.Fleet(client=client, start=start.node))


def _read_platform(
    text: str, client: admin.AdminClient
) -> result.Result[fleet.Fleet, outcome.Outcome]:
    try:
        platform = tables.find_platform(text, "")
    except faults.CannotAccept as error:
        return result.Err(outcome.refuse(str(error)))
    return _read_state(platform).map(
        lambda state: fleet.Fleet(
            client=client, known=status.list_members(state)
        )
    )


def _read_state(
    platform: settings.Platform,
) -> result.Result[ownership.State, outcome.Outcome]:
    calls = store.Store(platform=platform, instance=_READER)
    with contextlib.closing(calls):
        log = ownership_log.OwnershipLog(store=calls, author=_READER)
        match log.read(state=ownership.State()):
            case result.Err(error):
                return result.Err(
                    outcome.Outcome(
                        exit_code=outcome.ExitCode.UNREACHABLE,
                        complaints=(
                            f"platform: {store.describe_error(error)}",
                        ),
                    )
                )
            case result.Ok(reading):
                return result.Ok(reading.state)

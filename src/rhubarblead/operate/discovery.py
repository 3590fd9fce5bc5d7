"""Discovery of the nodes through one of them or through the platform."""

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
class Source:
    """Where the nodes are looked up; only one of the fields may be set.

    `node` is the address of any node and `platform` that of the table service,
    both as `ip:port`.
    """

    node: str
    platform: str


def find_fleet(
    source: Source, client: admin.AdminClient
) -> result.Result[fleet.Fleet, outcome.Outcome]:
    """Finds all nodes.

    Args:
        source: The options given on the command line.
        client: Sends requests to single nodes.

    Returns:
        The nodes, or the outcome of the command if they can't be found.
    """
    if source.platform and source.node:
        return result.Err(
            outcome.reject_input("give --node or --platform, not both")
        )
    if source.platform:
        return _find_through_platform(source.platform, client)
    match admin.check_authority(source.node):
        case result.Err(error):
            return result.Err(outcome.reject_input(f"--node: {error}"))
    return result.Ok(fleet.Fleet(client=client, seed=source.node))


def _find_through_platform(
    text: str, client: admin.AdminClient
) -> result.Result[fleet.Fleet, outcome.Outcome]:
    try:
        platform = tables.find_platform(text, "")
    except faults.CannotAccept as error:
        return result.Err(outcome.reject_input(str(error)))
    return _read_state(platform).map(
        lambda state: fleet.Fleet(
            client=client, members=status.list_members(state)
        )
    )


def _read_state(
    platform: settings.Platform,
) -> result.Result[ownership.State, outcome.Outcome]:
    table_store = store.Store(platform=platform, instance=_READER)
    with contextlib.closing(table_store):
        log = ownership_log.OwnershipLog(store=table_store, author=_READER)
        match log.read(state=ownership.State()):
            case result.Err(error):
                return result.Err(
                    outcome.Outcome(
                        exit_code=outcome.ExitCode.UNREACHABLE,
                        diagnostics=(
                            f"platform: {store.describe_error(error)}",
                        ),
                    )
                )
            case result.Ok(reading):
                return result.Ok(reading.state)

"""The command line.

Each method makes a command; `rhubarblead.__main__` runs it and prints its
outcome.
"""

from collections.abc import Callable
from collections.abc import Sequence
import importlib
import pathlib
import time
from typing import Any
from typing import TypeVar

from fire import decorators
import result

from rhubarblead import faults
from rhubarblead import settings
from rhubarblead.events import filters
from rhubarblead.operate import admin
from rhubarblead.operate import discovery
from rhubarblead.operate import explain
from rhubarblead.operate import fleet
from rhubarblead.operate import lookups
from rhubarblead.operate import outcome
from rhubarblead.operate import settings_command
from rhubarblead.operate import status_report
from rhubarblead.operate import tables
from rhubarblead.operate import timeline_command

_REQUEST_TIMEOUT_MS = 2_000
_CATCH_UP_TIMEOUT_MS = 1_000
_DAEMON_MODULE = "rhubarblead.node.daemon"

_F = TypeVar("_F", bound=Callable[..., Any])


def _parse_as_text(*names: str) -> Callable[[_F], _F]:
    """Keeps arguments as typed; fire would read numbers out of them."""
    decorate: Callable[[_F], _F] = decorators.SetParseFn(str, *names)
    return decorate


class Commands:
    """Routes requests to servers that own their keys.

    Exit codes: 0 all is well, 2 bad input, 4 a node or the platform is
    unreachable, 6 nodes lag behind what is in force.
    """

    def __init__(self) -> None:
        self.settings = settings_command.SettingsCommand()
        self.tables = tables.TablesCommand

    @_parse_as_text("request")
    def explain(self, *files: str, request: str) -> outcome.Outcome:
        """Shows what the logs of all processes say of one request.

        Args:
            files: Collected logs of the routers.
            request: The request's id.
        """
        return explain.explain(request, [str(name) for name in files])

    @_parse_as_text("settings")
    def node(self, settings: str) -> outcome.DeferredCommand:  # noqa: A002
        """Runs the node process until it is told to stop.

        Args:
            settings: Path of the settings file.
        """
        return outcome.defer(lambda: _run_node(pathlib.Path(settings)))

    @_parse_as_text("node", "platform")
    def status(
        self, node: str = "", platform: str = "", json: bool = False
    ) -> outcome.DeferredCommand:
        """Shows what is in force on every node, and which nodes lag.

        Args:
            node: Any node, as IP:PORT.
            platform: In place of a node, the table service, as IP:PORT.
            json: Whether to print JSON.
        """
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: status_report.StatusCommand(
                nodes=nodes,
                catch_up_timeout_ms=_CATCH_UP_TIMEOUT_MS,
                sleep_ms=_sleep,
            ).run(is_json=json),
        )

    @_parse_as_text("node", "platform")
    def members(
        self, node: str = "", platform: str = "", json: bool = False
    ) -> outcome.DeferredCommand:
        """Lists the members.

        Args:
            node: Any node, as IP:PORT.
            platform: In place of a node, the table service, as IP:PORT.
            json: Whether to print JSON.
        """
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: lookups.LookupCommands(nodes=nodes).list_members(
                is_json=json
            ),
        )

    @_parse_as_text("pool", "key", "node", "platform")
    def owner(
        self,
        pool: str,
        key: str,
        node: str = "",
        platform: str = "",
        json: bool = False,
    ) -> outcome.DeferredCommand:
        """Shows who owns a key, and why.

        Args:
            pool: Name of the pool.
            key: The key.
            node: Any node, as IP:PORT.
            platform: In place of a node, the table service, as IP:PORT.
            json: Whether to print JSON.
        """
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: lookups.LookupCommands(nodes=nodes).find_owner(
                pool=pool, key=key, is_json=json
            ),
        )

    @_parse_as_text("node", "platform")
    def lease(
        self, node: str = "", platform: str = "", json: bool = False
    ) -> outcome.DeferredCommand:
        """Shows the lease of each member, and its granters.

        Args:
            node: Any node, as IP:PORT.
            platform: In place of a node, the table service, as IP:PORT.
            json: Whether to print JSON.
        """
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: lookups.LookupCommands(nodes=nodes).list_leases(
                is_json=json
            ),
        )

    @_parse_as_text("node")
    def drain(self, node: str) -> outcome.DeferredCommand:
        """Tells one node to hand its shards over and take no new work.

        Args:
            node: The node, as IP:PORT.
        """
        return outcome.defer(lambda: _drain(node))

    @_parse_as_text(
        "node",
        "platform",
        "pool",
        "key",
        "request",
        "instance",
        "since_ms",
        "until_ms",
    )
    def timeline(
        self,
        *files: str,
        node: str = "",
        platform: str = "",
        pool: str = "",
        key: str = "",
        request: str = "",
        instance: str = "",
        since_ms: str = "",
        until_ms: str = "",
        json: bool = False,
    ) -> outcome.DeferredCommand:
        """Shows the events of all processes in causal order.

        Args:
            *files: Collected logs to read in place of asking the nodes.
            node: Any node, as IP:PORT.
            platform: In place of a node, the table service, as IP:PORT.
            pool: Pool of the key.
            key: Only events about this key, and with --pool its shard.
            request: Only events about this request.
            instance: Only events of this instance.
            since_ms: Only events at or after this wall time.
            until_ms: Only events at or before this wall time.
            json: Whether to print JSON.
        """
        query = filters.format_pairs(
            {
                "pool": pool,
                "key": key,
                "request_id": request,
                "instance": instance,
                "since_ms": since_ms,
                "until_ms": until_ms,
            }
        )
        return outcome.defer(
            lambda: _show_timeline(
                discovery.Source(node=node, platform=platform),
                files,
                query,
                is_json=json,
            )
        )


def _defer_on_fleet(
    source: discovery.Source, run: Callable[[fleet.Fleet], outcome.Outcome]
) -> outcome.DeferredCommand:
    return outcome.defer(lambda: _run_on_fleet(source, run))


def _run_on_fleet(
    source: discovery.Source, run: Callable[[fleet.Fleet], outcome.Outcome]
) -> outcome.Outcome:
    client = admin.AdminClient(timeout_ms=_REQUEST_TIMEOUT_MS)
    match discovery.find_fleet(source, client):
        case result.Err(found):
            return found
        case result.Ok(nodes):
            return run(nodes)


def _drain(node: str) -> outcome.Outcome:
    match admin.check_authority(node):
        case result.Err(error):
            return outcome.reject_input(f"--node: {error}")
    client = admin.AdminClient(timeout_ms=_REQUEST_TIMEOUT_MS)
    return lookups.DrainCommand(client=client).run(node)


def _show_timeline(
    source: discovery.Source, files: Sequence[str], query: str, *, is_json: bool
) -> outcome.Outcome:
    match filters.read_filter(query):
        case result.Err(error):
            return outcome.reject_input(error)
        case result.Ok(event_filter):
            pass
    if files:
        paths = [pathlib.Path(str(file)) for file in files]
        return timeline_command.run_on_files(
            paths, event_filter, is_json=is_json
        )
    return _run_on_fleet(
        source,
        lambda nodes: timeline_command.TimelineCommand(nodes=nodes).run(
            event_filter, is_json=is_json
        ),
    )


def _run_node(path: pathlib.Path) -> outcome.Outcome | int:
    try:
        found = settings.read_settings(path)
    except faults.CannotAccept as error:
        return outcome.reject_input(str(error))
    daemon = importlib.import_module(_DAEMON_MODULE)
    code: int = daemon.run(found)
    return code


def _sleep(duration_ms: int) -> None:
    time.sleep(duration_ms / 1_000)

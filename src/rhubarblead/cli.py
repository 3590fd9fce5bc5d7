"""Command-line interface for operators.

Each method of `Commands` returns a command or its outcome.
`rhubarblead.__main__` runs the command and prints the outcome.
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
    """Passes arguments on as strings; fire would parse some as numbers."""
    decorate: Callable[[_F], _F] = decorators.SetParseFn(str, *names)
    return decorate


class Commands:
    """Routes requests to servers that own their keys.

    Exit codes: 0 success, 2 bad input, 4 a node or the platform is
    unreachable, 6 nodes lag behind the revisions in force.
    """

    def __init__(self) -> None:
        self.settings = settings_command.SettingsCommand()
        self.tables = tables.TablesCommand

    @_parse_as_text("request")
    def explain(self, *files: str, request: str) -> outcome.Outcome:
        """Shows the log lines of one request and the state changes around it.

        Args:
            files: Log files collected from the routers.
            request: The id of the request.
        """
        return explain.explain(request, [str(name) for name in files])

    @_parse_as_text("settings")
    def node(self, settings: str) -> outcome.DeferredCommand:  # noqa: A002
        """Runs the node process until it receives a stop signal.

        Args:
            settings: Path of the settings file.
        """
        return outcome.defer(lambda: _run_node(pathlib.Path(settings)))

    @_parse_as_text("node", "platform")
    def status(
        self, node: str = "", platform: str = "", json: bool = False
    ) -> outcome.DeferredCommand:
        """Shows the revisions in force on every node, and the lagging nodes.

        Args:
            node: Address of any node, as IP:PORT.
            platform: Address of the table service, as IP:PORT; excludes node.
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
        """Lists the members of the cluster.

        Args:
            node: Address of any node, as IP:PORT.
            platform: Address of the table service, as IP:PORT; excludes node.
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
        """Shows the owner of a key and the reason.

        Args:
            pool: Name of the pool.
            key: The key.
            node: Address of any node, as IP:PORT.
            platform: Address of the table service, as IP:PORT; excludes node.
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
        """Shows the lease of each member and its granters.

        Args:
            node: Address of any node, as IP:PORT.
            platform: Address of the table service, as IP:PORT; excludes node.
            json: Whether to print JSON.
        """
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: lookups.LookupCommands(nodes=nodes).list_leases(
                is_json=json
            ),
        )

    @_parse_as_text("node", "platform", "failure_domain")
    def drain(
        self, node: str = "", platform: str = "", failure_domain: str = ""
    ) -> outcome.DeferredCommand:
        """Makes nodes hand over their shards and accept no new work.

        Args:
            node: Address of the node, as IP:PORT; of any node if a failure
                domain is drained.
            platform: Address of the platform's table service, to list nodes.
            failure_domain: Drains all nodes of this failure domain.
        """
        if not failure_domain:
            return outcome.defer(lambda: _drain(node))
        return _defer_on_fleet(
            discovery.Source(node=node, platform=platform),
            lambda nodes: lookups.DrainDomainCommand(
                client=admin.AdminClient(timeout_ms=_REQUEST_TIMEOUT_MS),
                nodes=nodes,
            ).run(failure_domain),
        )

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
            *files: Collected log files to read instead of querying the nodes.
            node: Address of any node, as IP:PORT.
            platform: Address of the table service, as IP:PORT; excludes node.
            pool: Name of the pool that the key belongs to.
            key: Only events about this key and, with --pool, its shard.
            request: Only events about the request with this id.
            instance: Only events reported by this instance.
            since_ms: Only events at or after this wall-clock time.
            until_ms: Only events at or before this wall-clock time.
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

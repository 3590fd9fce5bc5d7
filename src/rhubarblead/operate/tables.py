"""Commands that read and change the tables."""

from collections.abc import Callable
import contextlib
import pathlib
from typing import Any

import pydantic

from rhubarblead import faults
from rhubarblead import settings
from rhubarblead.operate import outcome
from rhubarblead.operate import table_operations
from rhubarblead.operate import table_reports
from rhubarblead.tablestore import store

_WAIT_MS = 5_000
_HISTORY_LIMIT = 20


class TablesCommand:
    """Shows, validates and changes the tables of routes and pools.

    Exit codes: 0 success, 2 bad input, 3 conflict with another operator's
    change, 4 the platform is unreachable and nothing was changed, 5 the change
    may have taken effect, 6 the change is stored but not in force on all
    nodes.
    """

    def __init__(self, *, platform: str = "", settings: str = "") -> None:
        """Sets the platform, by its addresses or by a settings file.

        Args:
            platform: Addresses of the table service and the object store, as
                IP:PORT,IP:PORT, or as IP:PORT if they share one.
            settings: Path of a node's settings file that names the platform.
        """
        self._platform = platform
        self._settings = settings

    def show(self, *, json: bool = False) -> outcome.DeferredCommand:
        """Shows the tables in force.

        Args:
            json: Whether to print JSON.
        """
        return self._defer(table_operations.show, is_json=json)

    def check(
        self, file: str, *, json: bool = False
    ) -> outcome.DeferredCommand:
        """Validates a file on its own and lists every fault.

        Args:
            file: Path of a JSON file with routes and pools.
            json: Whether to print JSON.
        """
        return outcome.defer(
            lambda: table_reports.make_outcome(
                table_operations.check(file), is_json=json
            )
        )

    def diff(self, file: str, *, json: bool = False) -> outcome.DeferredCommand:
        """Shows how a file differs from the tables in force.

        Args:
            file: Path of a JSON file with routes and pools.
            json: Whether to print JSON.
        """
        return self._defer(
            lambda table_store: table_operations.diff(table_store, file),
            is_json=json,
        )

    def apply(
        self,
        file: str,
        *,
        author: str,
        comment: str,
        expected_revision: int,
        wait_ms: int = _WAIT_MS,
        write_id: str = "",
        json: bool = False,
    ) -> outcome.DeferredCommand:
        """Replaces the tables and waits until they are in force.

        Args:
            file: Path of a JSON file with routes and pools.
            author: The operator who changes the tables.
            comment: The reason for the change.
            expected_revision: The revision on which the file is based.
            wait_ms: How long to wait for nodes before reporting them as
                lagging.
            write_id: The write id of an earlier attempt whose outcome is
                unknown.
            json: Whether to print JSON.
        """
        operation = table_operations.ApplyOperation(
            file=file,
            author=str(author),
            comment=str(comment),
            expected_revision=expected_revision,
            wait_ms=wait_ms,
            write_id=str(write_id),
        )
        return self._defer(operation.apply, is_json=json)

    def history(
        self, *, limit: int = _HISTORY_LIMIT, json: bool = False
    ) -> outcome.DeferredCommand:
        """Lists the newest changes.

        Args:
            limit: The maximum number of changes.
            json: Whether to print JSON.
        """
        return self._defer(
            lambda table_store: table_operations.list_history(
                table_store, limit
            ),
            is_json=json,
        )

    def _defer(
        self,
        run: Callable[[store.Store], table_reports.Report],
        *,
        is_json: bool,
    ) -> outcome.DeferredCommand:
        return outcome.defer(
            lambda: table_reports.make_outcome(self._run(run), is_json=is_json)
        )

    def _run(
        self, run: Callable[[store.Store], table_reports.Report]
    ) -> table_reports.Report:
        try:
            platform = find_platform(self._platform, self._settings)
        except faults.CannotAccept as error:
            return table_operations.make_invalid(error)
        table_store = store.Store(
            platform=platform, instance=table_operations.INSTANCE
        )
        with contextlib.closing(table_store):
            return run(table_store)


def find_platform(platform: str, path: str) -> settings.Platform:
    """Reads the platform's addresses from the command-line options.

    Args:
        platform: Addresses of the table service and the object store, as
            IP:PORT,IP:PORT, or as IP:PORT if they share one.
        path: Path of a node's settings file that names the platform.

    Returns:
        The platform.

    Raises:
        faults.CannotAccept: Both options are given, or neither, or the given
            one is invalid.
    """
    if platform and path or not (platform or path):
        raise faults.CannotAccept(
            subject="command line",
            faults=(
                faults.Fault(
                    path="--platform",
                    expected="either this or --settings, and not both",
                ),
            ),
        )
    if path:
        return settings.read_settings(pathlib.Path(str(path))).platform
    table_service, _, object_store = str(platform).partition(",")
    try:
        return settings.Platform.model_validate(
            {
                "table_service": _split_authority(table_service),
                "object_store": _split_authority(object_store or table_service),
            }
        )
    except pydantic.ValidationError as error:
        raise faults.CannotAccept(
            subject="--platform", faults=faults.list_faults(error)
        ) from error


def _split_authority(text: str) -> dict[str, Any]:
    address, _, port = text.strip().rpartition(":")
    return {"ip_address": address.strip("[]"), "port": port}

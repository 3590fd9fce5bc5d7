"""The commands with which operators read and change the tables."""

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
    """Shows, checks and changes the operators' tables.

    Exit codes: 0 all is well, 2 bad input, 3 others changed the tables first,
    4 the platform is unreachable and nothing was done, 5 the change may have
    taken effect, 6 the change is stored but not in force on all nodes.
    """

    def __init__(self, *, platform: str = "", settings: str = "") -> None:
        """Names the platform, in one of two ways.

        Args:
            platform: Table service and object store, as IP:PORT or as
                IP:PORT,IP:PORT.
            settings: Path of a node's settings file, which names them.
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
        """Checks a file by itself and names every fault.

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
        """Replaces the tables, and waits until they are in force.

        Args:
            file: Path of a JSON file with routes and pools.
            author: Who changes them.
            comment: Why.
            expected_revision: The revision that the file was edited from.
            wait_ms: How long nodes may take until they are reported.
            write_id: The id of an earlier try that was left in doubt.
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
            limit: How many.
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
    """Finds the platform that the command line names.

    Args:
        platform: Table service and object store, as IP:PORT or as
            IP:PORT,IP:PORT.
        path: Path of a node's settings file, which names them.

    Returns:
        The platform.

    Raises:
        faults.CannotAccept: Both are given, or none, or one is not valid.
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

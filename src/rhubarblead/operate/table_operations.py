"""Operations that read, compare and change the tables.

Each returns a report.
"""

import pathlib
import time
import uuid

import msgspec
import result

from rhubarblead import clock
from rhubarblead import faults
from rhubarblead import ownership
from rhubarblead import tables
from rhubarblead.operate import admin
from rhubarblead.operate import in_force
from rhubarblead.operate import table_reports
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_changes
from rhubarblead.tablestore import table_log
from rhubarblead.tablestore import table_versions

INSTANCE = "operator"
_NODE_TIMEOUT_MS = 1_000
_MS_PER_S = 1_000


class ApplyOperation:
    """Replaces the tables with the content of a file."""

    __slots__ = (
        "_author",
        "_comment",
        "_expected_revision",
        "_file",
        "_is_retry",
        "_wait_ms",
        "_write_id",
    )

    def __init__(
        self,
        *,
        file: str,
        author: str,
        comment: str,
        expected_revision: int,
        wait_ms: int,
        write_id: str,
    ) -> None:
        """Initializes the operation.

        Args:
            file: Path of a JSON file with routes and pools.
            author: The operator who changes the tables.
            comment: The reason for the change.
            expected_revision: The revision on which the file is based.
            wait_ms: How long to wait for nodes before reporting them as
                lagging.
            write_id: The write id of an earlier attempt with an unknown
                outcome, or "".
        """
        self._file = file
        self._author = author
        self._comment = comment
        self._expected_revision = expected_revision
        self._wait_ms = wait_ms
        self._is_retry = bool(write_id)
        self._write_id = write_id or str(uuid.uuid4())

    def apply(self, table_store: store.Store) -> table_reports.Report:
        """Applies the file and waits until it is in force on all nodes."""
        invalid = _check_not_blank(author=self._author, comment=self._comment)
        if invalid is not None:
            return invalid
        try:
            new_tables = _read_file(self._file)
        except faults.CannotAccept as error:
            return make_invalid(error)
        state = _read_state(table_store)
        if isinstance(state, result.Err):
            return self._report_failure(store.describe_error(state.err_value))
        unsafe = table_changes.check_shards(state.ok_value, new_tables)
        if unsafe:
            return _report_faults(self._file, unsafe)
        answer = table_log.TableLog(store=table_store).apply(
            tables=new_tables,
            expected_revision=self._expected_revision,
            author=self._author,
            comment=self._comment,
            write_id=self._write_id,
        )
        match answer:
            case result.Ok(applied):
                return self._wait_in_force(applied, state.ok_value)
            case result.Err(failure):
                return self._report_error(failure)

    def _wait_in_force(
        self, applied: table_versions.Applied, state: ownership.State
    ) -> table_reports.Report:
        lagging = in_force.wait_in_force(
            list(state.members.values()),
            revision=applied.version.revision,
            wait_ms=self._wait_ms,
            client=admin.AdminClient(timeout_ms=_NODE_TIMEOUT_MS),
            read_now_ms=clock.read_monotonic_ms,
            sleep_ms=_sleep,
        )
        return table_reports.Applied(
            version=applied.version,
            is_changed=applied.is_changed,
            is_in_force=not lagging,
            lagging=lagging,
        )

    def _report_error(
        self, error: table_versions.ApplyError
    ) -> table_reports.Report:
        match error:
            case table_versions.Refused(faults=found):
                return _report_faults(self._file, found)
            case table_versions.TablesConflict():
                return table_reports.Conflict(
                    revision=error.revision,
                    changed_by=error.changed_by,
                    yours=error.yours,
                    theirs=error.theirs,
                )
            case table_versions.NotDone(explanation=explanation):
                return self._report_failure(explanation)
            case store.InDoubt(explanation=explanation):
                return table_reports.InDoubt(
                    write_id=self._write_id, explanation=explanation
                )

    def _report_failure(self, explanation: str) -> table_reports.Report:
        if self._is_retry:
            # This attempt failed, but the earlier one may have taken effect.
            return table_reports.InDoubt(
                write_id=self._write_id, explanation=explanation
            )
        return table_reports.Unavailable(explanation=explanation)


def show(table_store: store.Store) -> table_reports.Report:
    """Reads the tables in force."""
    match table_log.TableLog(store=table_store).read_tables():
        case result.Ok(table_versions.Reading() as reading):
            return table_reports.Shown(
                version=reading.version,
                tables=msgspec.Raw(reading.document),
            )
        case result.Err(failure):
            return _make_unavailable(failure)
    return table_reports.Unavailable(explanation="the store returned no tables")


def check(file: str) -> table_reports.Report:
    """Validates a file without comparing it with the tables in force."""
    try:
        _read_file(file)
    except faults.CannotAccept as error:
        return make_invalid(error)
    return table_reports.Valid(file=str(file))


def diff(table_store: store.Store, file: str) -> table_reports.Report:
    """Compares a file with the tables in force."""
    try:
        new_tables = _read_file(file)
    except faults.CannotAccept as error:
        return make_invalid(error)
    match table_log.TableLog(store=table_store).read_tables():
        case result.Ok(table_versions.Reading() as reading):
            unsafe = table_changes.check_change(reading.tables, new_tables)
            return table_reports.Diff(
                revision=reading.revision,
                differences=table_changes.find_differences(
                    reading.tables, new_tables
                ),
                unsafe=table_reports.make_faults(unsafe),
            )
        case result.Err(failure):
            return _make_unavailable(failure)
    return table_reports.Unavailable(explanation="the store returned no tables")


def list_history(table_store: store.Store, limit: int) -> table_reports.Report:
    """Lists the newest changes with their differences."""
    log = table_log.TableLog(store=table_store)
    answer = log.read_history(limit)
    if isinstance(answer, result.Err):
        return _make_unavailable(answer.err_value)
    lines = []
    for entry in answer.ok_value:
        line = _make_history_line(log, entry)
        if isinstance(line, result.Err):
            return _make_unavailable(line.err_value)
        lines.append(line.ok_value)
    return table_reports.History(changes=tuple(lines))


def _make_history_line(
    log: table_log.TableLog, entry: table_versions.HistoryEntry
) -> result.Result[table_reports.HistoryLine, store.StoreError]:
    before = log.read_document(entry.before_digest)
    if isinstance(before, result.Err):
        return before
    after = log.read_document(entry.version.tables_digest)
    if isinstance(after, result.Err):
        return after
    return result.Ok(
        table_reports.HistoryLine(
            revision=entry.version.revision,
            author=entry.version.author,
            written_at_ms=entry.version.written_at_ms,
            comment=entry.version.comment,
            before_digest=entry.before_digest,
            after_digest=entry.version.tables_digest,
            differences=table_changes.find_differences(
                before.ok_value, after.ok_value
            ),
        )
    )


def _read_state(
    table_store: store.Store,
) -> result.Result[ownership.State, store.StoreError]:
    log = ownership_log.OwnershipLog(store=table_store, author=INSTANCE)
    return log.read(state=ownership.State()).map(lambda found: found.state)


def _read_file(file: str) -> tables.Tables:
    path = pathlib.Path(str(file))
    try:
        text = path.read_bytes()
    except OSError as error:
        raise faults.CannotAccept(
            subject=str(path),
            faults=(
                faults.Fault(
                    path="(file)",
                    expected=f"a readable file: {error.strerror}",
                ),
            ),
        ) from error
    return tables.read_tables(text)


def _check_not_blank(**texts: str) -> table_reports.Invalid | None:
    empty = [name for name, text in texts.items() if not text.strip()]
    if not empty:
        return None
    return _report_faults(
        "command line",
        tuple(
            faults.Fault(path=f"--{name}", expected="a non-empty text")
            for name in empty
        ),
    )


def make_invalid(error: faults.CannotAccept) -> table_reports.Invalid:
    """Makes the report of invalid input."""
    return _report_faults(error.subject, error.faults)


def _make_unavailable(error: store.StoreError) -> table_reports.Unavailable:
    return table_reports.Unavailable(explanation=store.describe_error(error))


def _report_faults(
    subject: str, found: tuple[faults.Fault, ...]
) -> table_reports.Invalid:
    return table_reports.Invalid(
        subject=str(subject), faults=table_reports.make_faults(found)
    )


def _sleep(duration_ms: int) -> None:
    time.sleep(duration_ms / _MS_PER_S)

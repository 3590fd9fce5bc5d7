"""Store calls made outside the control thread, with typed results."""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

import result

from rhubarblead import clock
from rhubarblead import ownership
from rhubarblead.node import jobs
from rhubarblead.node.ownership import writing
from rhubarblead.tablestore import ownership_log
from rhubarblead.tablestore import store
from rhubarblead.tablestore import table_log
from rhubarblead.tablestore import table_versions

TablesOutcome: TypeAlias = result.Result[
    table_versions.Reading | store.NotModified, store.StoreError
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipRead:
    """The result of reading the ownership row.

    `sent_at_ms` is the monotonic time at which the read began.
    """

    sent_at_ms: int
    outcome: result.Result[ownership_log.Reading, store.StoreError]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesRead:
    """The result of reading the tables row."""

    outcome: result.Result[
        table_versions.Reading | store.NotModified, store.StoreError
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """The result of a write: committed, conflict, not done or in doubt."""

    proposal: writing.Proposal
    outcome: result.Result[ownership_log.Appended, ownership_log.AppendError]


StoreResult: TypeAlias = OwnershipRead | TablesRead | Written


class StoreJobs:
    """Runs store calls on an executor and posts their results."""

    __slots__ = ("_log", "_post", "_runner", "_tables")

    def __init__(
        self,
        *,
        runner: jobs.JobRunner,
        log: ownership_log.OwnershipLog,
        tables: table_log.TableLog,
        post: Callable[[StoreResult], None],
    ) -> None:
        self._runner = runner
        self._log = log
        self._tables = tables
        self._post = post

    def read_ownership(self, state: ownership.State) -> None:
        """Starts to read the entries that are newer than a state."""
        self._runner.submit(lambda: self._read_ownership(state))

    def read_tables(self, known_revision: int) -> None:
        """Starts to read the tables unless they still have a known revision."""
        self._runner.submit(lambda: self._read_tables(known_revision))

    def write(self, proposal: writing.Proposal) -> None:
        """Starts to commit a proposal."""
        self._runner.submit(
            lambda: self._write(proposal),
            lambda error: self._fail(proposal, error),
        )

    def resolve(self, proposal: writing.Proposal) -> None:
        """Starts to find out whether a proposal in doubt was committed."""
        self._runner.submit(
            lambda: self._resolve(proposal),
            lambda error: self._leave_in_doubt(proposal, error),
        )

    def _fail(self, proposal: writing.Proposal, error: Exception) -> None:
        """Posts the result of a write that raised an exception."""
        if not isinstance(error, ownership.CannotApply):
            self._leave_in_doubt(proposal, error)
            return
        # Changes that do not apply are rejected before anything is sent.
        outcome = result.Err(ownership_log.NotDone(explanation=repr(error)))
        self._post(Written(proposal=proposal, outcome=outcome))

    def _leave_in_doubt(
        self, proposal: writing.Proposal, error: Exception
    ) -> None:
        outcome = result.Err(store.InDoubt(explanation=repr(error)))
        self._post(Written(proposal=proposal, outcome=outcome))

    def _read_ownership(self, state: ownership.State) -> None:
        sent_at_ms = clock.read_monotonic_ms()
        outcome = self._log.read(state=state)
        self._post(OwnershipRead(sent_at_ms=sent_at_ms, outcome=outcome))

    def _read_tables(self, known_revision: int) -> None:
        outcome = self._tables.read_tables(known_revision=known_revision)
        self._post(TablesRead(outcome=outcome))

    def _write(self, proposal: writing.Proposal) -> None:
        outcome = self._log.append(
            state=proposal.state,
            changes=proposal.changes,
            write_id=proposal.write_id,
        )
        self._post(Written(proposal=proposal, outcome=outcome))

    def _resolve(self, proposal: writing.Proposal) -> None:
        outcome = self._log.resolve(
            write_id=proposal.write_id,
            expected_revision=proposal.state.revision,
            changes=proposal.changes,
        )
        self._post(Written(proposal=proposal, outcome=outcome))

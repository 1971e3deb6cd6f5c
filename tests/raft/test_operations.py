"""The table of pending operations: each completes, with what is known of its outcome."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import EntrySupersededError, NotLeaderError, OutcomeUnknownError, RaftError
from juniperreel.raft.operations import OperationTable, PendingOperation
from juniperreel.raft.types import Entry, EntryKind, LogPosition

OUTCOME = Outcome(7, "")


def start_at(table: OperationTable, term: int, index: int) -> PendingOperation:
    operation = PendingOperation(lambda: LogPosition(term, index))
    table.start(operation)
    return operation


def apply(table: OperationTable, term: int, index: int) -> None:
    table.on_applied(Entry(term, index, EntryKind.COMMAND, b"x"), OUTCOME)


def test_operation_succeeds_with_the_outcome_of_its_entry() -> None:
    table = OperationTable()
    operation = start_at(table, 2, 10)
    apply(table, 2, 9)
    assert not operation.done.is_set()
    apply(table, 2, 10)
    assert (operation.outcome, operation.error) == (OUTCOME, None)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (lambda table: apply(table, 3, 10), EntrySupersededError),
        (lambda table: table.on_snapshot_installed(10), OutcomeUnknownError),
        (lambda table: table.fail_all("stopping"), OutcomeUnknownError),
        (lambda table: start_at(table, 3, 10), OutcomeUnknownError),
    ],
    ids=["superseded", "covered by a snapshot", "node stops", "replaced before a commit"],
)
def test_operation_that_does_not_succeed_fails_with_what_is_known(
    event: Callable[[OperationTable], object], expected: type[RaftError]
) -> None:
    table = OperationTable()
    operation = start_at(table, 2, 10)
    event(table)
    assert operation.done.is_set()
    assert type(operation.error) is expected


def test_snapshot_and_loss_of_leadership_leave_later_entries_pending() -> None:
    table = OperationTable()
    operation = start_at(table, 2, 10)
    table.on_snapshot_installed(9)
    table.on_leadership_lost("b")
    assert not operation.done.is_set()


def test_read_is_lost_with_the_leadership() -> None:
    table = OperationTable()
    read = PendingOperation(lambda: None, read_context=1)
    table.start(read)
    table.on_leadership_lost("b")
    assert type(read.error) is NotLeaderError

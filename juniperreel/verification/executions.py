"""Checks that each statement was executed with its own text, values and session variables.

Statements that endpoints recorded as executed are compared, by serial number, with those that clients sent.
Only records are used.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from juniperreel.verification.records import Record, StatementExecuted, StatementIntended

MAX_QUOTED_CHARACTERS = 80

# MySQL's "unknown prepared statement" and "needs to be re-prepared": clients must never receive these for
# statements that they prepared.
FORBIDDEN_ERRORS = ("1243", "1615")


@dataclass(slots=True)
class ExecutionCounts:
    """The numbers of statements, texts and connections that were checked."""

    intended: int = 0
    served: int = 0
    executed: int = 0
    texts: int = 0
    connections: int = 0


def check_executions(records: Iterable[Record], counts: ExecutionCounts | None = None) -> list[str]:
    """Descriptions of all mismatches; empty if every statement was executed as intended."""
    counts = counts or ExecutionCounts()
    intended: dict[str, StatementIntended] = {}
    executions: dict[str, list[StatementExecuted]] = defaultdict(list)
    found: list[str] = []
    for record in records:
        if isinstance(record, StatementIntended):
            if record.serial in intended:
                found.append(f"{record.serial} was requested twice")
            intended[record.serial] = record
        elif isinstance(record, StatementExecuted):
            executions[record.serial].append(record)
    _count(counts, intended, executions)
    for serial, executed in executions.items():
        found.extend(_mismatches(serial, intended.get(serial), executed))
    for statement in intended.values():
        if statement.served and statement.serial not in executions:
            found.append(f"{statement.serial} was served but never executed")
        if statement.error in FORBIDDEN_ERRORS:
            found.append(f"{statement.serial} was answered with error {statement.error}")
    return found


def _count(
    counts: ExecutionCounts,
    intended: dict[str, StatementIntended],
    executions: dict[str, list[StatementExecuted]],
) -> None:
    counts.intended = len(intended)
    counts.executed = sum(map(len, executions.values()))
    counts.served = sum(statement.served for statement in intended.values())
    counts.texts = len({statement.text for statement in intended.values()})
    connections = {(e.endpoint, e.connection_id) for executed in executions.values() for e in executed}
    counts.connections = len(connections)


def _mismatches(
    serial: str, intended: StatementIntended | None, executions: Iterable[StatementExecuted]
) -> Iterator[str]:
    if intended is None:
        yield f"{serial} was executed but never requested"
        return
    for execution in executions:
        if execution.text != intended.text:
            executed_text = execution.text[:MAX_QUOTED_CHARACTERS]
            intended_text = intended.text[:MAX_QUOTED_CHARACTERS]
            yield f"{serial} was executed as {executed_text!r} and intended as {intended_text!r}"
        if execution.values != intended.values:
            executed_values = f"{execution.values!r:.{MAX_QUOTED_CHARACTERS}}"
            intended_values = f"{intended.values!r:.{MAX_QUOTED_CHARACTERS}}"
            yield f"{serial} was executed with {executed_values} and intended with {intended_values}"
        if execution.variables != intended.variables:
            yield (
                f"{serial} was executed with variables {execution.variables} and its session has "
                f"{intended.variables}"
            )

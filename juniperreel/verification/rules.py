"""The five rules that the program must satisfy, each with the checker that verifies it from records alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from juniperreel.verification.draining import check_draining
from juniperreel.verification.effects import check_effects
from juniperreel.verification.history import History, Violation
from juniperreel.verification.records import Record
from juniperreel.verification.responses import check_responses
from juniperreel.verification.slow_start import check_slow_start
from juniperreel.verification.staleness import check_reads


class Rule(NamedTuple):
    """A rule's name in reports, and its checker."""

    name: str
    check: Callable[[History], list[Violation]]


RULES = {
    1: Rule("one final answer in time", check_responses),
    2: Rule("no effect twice", check_effects),
    3: Rule("drains are kept", check_draining),
    4: Rule("no cold member pushed over", check_slow_start),
    5: Rule("no stale read", check_reads),
}


def check_all(records: Iterable[Record]) -> dict[int, list[Violation]]:
    """Violations by rule number; the list is empty for a rule that holds.

    Raises IncompleteRecordingError.
    """
    history = History.of(records)
    history.require_complete()
    return {number: rule.check(history) for number, rule in RULES.items()}

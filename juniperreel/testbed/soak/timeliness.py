"""Judges whether clients had their answers in time: they leave 60 ms after it, whatever held the driver up.

A process that is held up when an answer is due gives it late by as much. Nothing else excuses a late answer,
a hold-up while the request arrived least of all: its time ran meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from juniperreel.testbed.hold_ups import HoldUp, held_up_us

PATIENCE_US = 60_000  # for which a client waits beyond the time that it stated
# An answer is decided upon at its deadline or shortly before: what holds the process up then makes it late.
DECIDED_BEFORE_US = 30_000


@dataclass(frozen=True, slots=True)
class AwaitedAnswer:
    """What became of one request: due at `due_us`, answered or given up at `ended_us`.

    `tolerance_us`: by how much the client itself may have been late to notice.
    """

    request_id: str
    driver: str
    due_us: int
    ended_us: int
    answered: bool
    tolerance_us: int


def _is_explained(answer: AwaitedAnswer, late_us: int, excused_us: int) -> bool:
    """Whether hold-ups explain a late answer by their length, or one that did not come by having been."""
    if answer.answered:
        return late_us - excused_us <= PATIENCE_US + answer.tolerance_us
    return excused_us > 0 or answer.tolerance_us > PATIENCE_US


def late_answers(
    awaited: Iterable[AwaitedAnswer], hold_ups: Mapping[str, Sequence[HoldUp]], offset_us: int
) -> Iterator[str]:
    """Describe the answers that were late, or did not come, though no hold-up at their deadline explains it.

    The clock of `awaited` is `offset_us` ahead of the monotonic one, which is that of `hold_ups`.
    """
    for answer in awaited:
        late_us = answer.ended_us - answer.due_us
        if answer.answered and late_us <= PATIENCE_US + answer.tolerance_us:
            continue
        excused_us = held_up_us(
            hold_ups.get(answer.driver, ()),
            answer.due_us - DECIDED_BEFORE_US - offset_us,
            answer.ended_us - offset_us,
        )
        if not _is_explained(answer, late_us, excused_us):
            what = "was answered" if answer.answered else "had no answer"
            yield f"{answer.request_id} of {answer.driver} {what} {late_us} us after its deadline"

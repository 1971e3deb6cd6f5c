"""Judges whether clients had their answers in time: they leave 60 ms after it, whatever held the driver up.

A process that is held up when an answer is due gives it late by as much, on purpose or by the machine.
Nothing else excuses a late answer, a hold-up while the request arrived least of all: its time ran meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from juniperreel.testbed.hold_ups import HoldUp, held_up_us
from juniperreel.testbed.run_queue import RunQueueWaits

CLIENT_WAIT_MARGIN_US = 60_000  # for which a client waits beyond the time that it stated
# An answer is decided upon at its deadline or shortly before: what holds the process up then makes it late.
DECISION_LEAD_US = 30_000


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


def _is_excused(answer: AwaitedAnswer, late_us: int, injected_us: int, waited_us: int) -> bool:
    """Whether hold-ups explain a late answer by their length, or one that did not come by having been.

    A wait for a processor is common and mostly short: it explains no answer that would have come without it.
    """
    if answer.answered:
        return late_us - injected_us - waited_us <= CLIENT_WAIT_MARGIN_US + answer.tolerance_us
    return injected_us > 0 or waited_us + answer.tolerance_us > CLIENT_WAIT_MARGIN_US


@dataclass(frozen=True, slots=True)
class DriverDelays:
    """What held drivers up: `hold_ups` that were injected, and `waits` for a processor.

    Both are on the monotonic clock; the clients' is `offset_us` ahead of it.
    """

    hold_ups: Mapping[str, Sequence[HoldUp]]
    waits: RunQueueWaits
    offset_us: int

    def injected_us(self, driver: str, start_us: int, end_us: int) -> int:
        """Return how long a driver was held up on purpose within a span of the clients' clock."""
        hold_ups = self.hold_ups.get(driver, ())
        return held_up_us(hold_ups, start_us - self.offset_us, end_us - self.offset_us)

    def waited_us(self, driver: str, start_us: int, end_us: int) -> int:
        """Return how long it waited for a processor at the least, beside hold-ups, within such a span."""
        hold_ups = self.hold_ups.get(driver, ())
        return self.waits.waited_us(driver, start_us - self.offset_us, end_us - self.offset_us, hold_ups)


def late_answers(awaited: Iterable[AwaitedAnswer], delays: DriverDelays) -> Iterator[str]:
    """Describe the answers that were late, or missing, where no hold-up at their deadline explains it."""
    for answer in awaited:
        late_us = answer.ended_us - answer.due_us
        if answer.answered and late_us <= CLIENT_WAIT_MARGIN_US + answer.tolerance_us:
            continue
        decision_start_us = answer.due_us - DECISION_LEAD_US
        injected_us = delays.injected_us(answer.driver, decision_start_us, answer.ended_us)
        waited_us = delays.waited_us(answer.driver, decision_start_us, answer.ended_us)
        if not _is_excused(answer, late_us, injected_us, waited_us):
            what = "was answered" if answer.answered else "had no answer"
            yield (
                f"{answer.request_id} of {answer.driver} {what} {late_us} us after its deadline,"
                f" held up for {injected_us} us, without a processor for {waited_us} us,"
                f" tolerated {answer.tolerance_us} us"
            )

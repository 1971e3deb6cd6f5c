"""Checks that answers arrive in time: clients disconnect CLIENT_WAIT_MARGIN_US after their deadline.

A driver that is held up when an answer is due, by injection or by the machine, answers late by as much.
Nothing else excuses a late answer, in particular not a hold-up while the request arrived: its time was
already running.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from juniperreel.testbed.hold_ups import HoldUp, held_up_us
from juniperreel.testbed.run_queue import RunQueueWaits

CLIENT_WAIT_MARGIN_US = 60_000  # how long a client waits beyond the deadline that it sent
# A driver decides on an answer at the deadline or shortly before: a hold-up from then on delays the answer.
DECISION_LEAD_US = 30_000


@dataclass(frozen=True, slots=True)
class AwaitedAnswer:
    """The outcome of one request: due at `due_us`, answered or given up at `ended_us`.

    `tolerance_us` bounds by how much the client itself may have noticed it late.
    """

    request_id: str
    driver: str
    due_us: int
    ended_us: int
    answered: bool
    tolerance_us: int


def _is_excused(answer: AwaitedAnswer, late_us: int, injected_us: int, waited_us: int) -> bool:
    """Whether hold-ups excuse a late answer by their length, or a missing answer by their occurrence.

    Waits for a CPU are common and mostly short, so a missing answer is excused only by a wait that exceeds
    the client's margin, less its tolerance.
    """
    if answer.answered:
        return late_us - injected_us - waited_us <= CLIENT_WAIT_MARGIN_US + answer.tolerance_us
    return injected_us > 0 or waited_us + answer.tolerance_us > CLIENT_WAIT_MARGIN_US


@dataclass(frozen=True, slots=True)
class DriverDelays:
    """Delays of drivers: injected `hold_ups`, and `waits` in the scheduler's run queue.

    Both are on the monotonic clock; the clock of the clients is `offset_us` ahead of it.
    """

    hold_ups: Mapping[str, Sequence[HoldUp]]
    waits: RunQueueWaits
    offset_us: int

    def injected_us(self, driver: str, start_us: int, end_us: int) -> int:
        """Return the injected hold-up time of a driver within an interval of the clients' clock."""
        hold_ups = self.hold_ups.get(driver, ())
        return held_up_us(hold_ups, start_us - self.offset_us, end_us - self.offset_us)

    def waited_us(self, driver: str, start_us: int, end_us: int) -> int:
        """Return a lower bound of its run queue wait within such an interval, excluding hold-ups."""
        hold_ups = self.hold_ups.get(driver, ())
        return self.waits.waited_us(driver, start_us - self.offset_us, end_us - self.offset_us, hold_ups)


def late_answers(awaited: Iterable[AwaitedAnswer], delays: DriverDelays) -> Iterator[str]:
    """Describe late or missing answers that no hold-up at their deadline excuses."""
    for answer in awaited:
        late_us = answer.ended_us - answer.due_us
        if answer.answered and late_us <= CLIENT_WAIT_MARGIN_US + answer.tolerance_us:
            continue
        decision_start_us = answer.due_us - DECISION_LEAD_US
        injected_us = delays.injected_us(answer.driver, decision_start_us, answer.ended_us)
        waited_us = delays.waited_us(answer.driver, decision_start_us, answer.ended_us)
        if not _is_excused(answer, late_us, injected_us, waited_us):
            outcome = "was answered" if answer.answered else "had no answer"
            yield (
                f"{answer.request_id} of {answer.driver} {outcome} {late_us} us after its deadline,"
                f" injected hold-up {injected_us} us, run queue wait {waited_us} us,"
                f" client tolerance {answer.tolerance_us} us"
            )

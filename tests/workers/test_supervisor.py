"""The parent's decisions by events."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from juniperreel.workers.supervisor import (
    BACKOFF_CAP_US,
    HUNG_US,
    QUIET_US,
    SEC,
    START_US,
    YOUNG_US,
    Drain,
    Kill,
    Order,
    Phase,
    Roster,
    Start,
)


def started(orders: list[Order]) -> list[int]:
    return [o.worker for o in orders if isinstance(o, Start)]


def serving(count: int = 3) -> Roster:
    roster = Roster(count, 1)
    for number in started(roster.tick(0)):
        roster.heard(0, number, 0)
    return roster


def test_a_connection_goes_to_whoever_has_the_fewest() -> None:
    roster = serving()
    roster.heard(1, 0, 5)
    roster.heard(1, 1, 2)
    roster.heard(1, 2, 4)
    assert [roster.pick(2) for _ in range(2)] == [1, 1], "what was handed since counts"
    assert sorted(str(roster.pick(2)) for _ in range(2)) == ["1", "2"]


def test_a_quiet_worker_gets_none_and_a_hung_one_is_killed() -> None:
    roster = serving()
    now = QUIET_US + 1
    for number in (1, 2):
        roster.heard(now, number, 100)
    assert roster.pick(now) != 0
    for number in (1, 2):
        roster.heard(HUNG_US + 1, number, 100)
    assert roster.tick(HUNG_US + 1) == [Kill(0, "it was not heard of")]


def test_all_quiet_means_that_the_machine_stood_still() -> None:
    assert serving().pick(5 * SEC) is not None


def test_nobody_to_pick_before_one_serves() -> None:
    roster = Roster(2, 1)
    roster.tick(0)
    assert roster.pick(0) is None


def test_a_worker_that_lived_is_replaced_at_once_and_a_young_one_with_backoff() -> None:
    roster = serving(1)
    assert started(roster.ended(YOUNG_US + 1, 0)) == [1]
    pauses, now = [], YOUNG_US + 1
    for number in range(1, 10):
        assert started(roster.ended(now, number)) == []
        due = now
        while not started(roster.tick(due)):
            due += 10_000
        pauses.append(due - now)
        now = due
    assert all(a < 2.5 * b for a, b in pairwise(pauses))
    assert pauses[0] < SEC and BACKOFF_CAP_US / 2 <= pauses[-1] <= BACKOFF_CAP_US
    assert roster.replaced == 10


def test_one_that_never_comes_up_is_killed() -> None:
    roster = Roster(1, 1)
    roster.tick(0)
    assert roster.tick(START_US + 1) == [Kill(0, "it did not come up")]


def test_the_old_go_when_all_of_the_new_serve() -> None:
    roster = serving(2)
    fresh = started(roster.renew(SEC, 3))
    assert len(fresh) == 3
    assert roster.heard(2 * SEC, fresh[0], 0) == []
    assert roster.heard(2 * SEC, fresh[1], 0) == []
    assert roster.heard(2 * SEC, fresh[2], 0) == [Drain(0), Drain(1)]
    assert {w.number for w in roster.serving()} == set(fresh)
    assert started(roster.ended(3 * SEC, 0)) == [], "it was asked to go"
    assert roster.replaced == 0


def test_one_of_the_old_dies_whose_slot_is_no_more() -> None:
    """Found by random orders of events: the parent fell with it, and all its workers."""
    roster = serving(2)
    (fresh,) = started(roster.renew(SEC, 1))
    assert roster.ended(SEC, 1) == [] and roster.replaced == 1
    assert roster.heard(2 * SEC, fresh, 0) == [Drain(0)]


def test_stopping_drains_all_and_starts_none() -> None:
    roster = serving(2)
    assert roster.stop() == [Drain(0), Drain(1)]
    assert roster.ended(SEC, 0) == [] and roster.tick(20 * SEC) == []


class Machine(RuleBasedStateMachine):
    """Any order of events: slots are filled once, nobody is lost, the asked-to-go are not replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.roster, self.now = Roster(3, 1), 0
        self.alive: set[int] = set()
        self.drained: set[int] = set()
        self.count = 3

    def obey(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Start(number, _, generation):
                    assert number not in self.alive and generation == self.roster.generation
                    self.alive.add(number)
                case Drain(number):
                    assert number in self.alive and number not in self.drained
                    self.drained.add(number)
                case Kill(number, _):
                    assert number in self.alive

    @rule(span=st.integers(1, 20 * SEC))
    def time(self, span: int) -> None:
        self.now += span
        self.obey(self.roster.tick(self.now))

    @precondition(lambda self: self.alive)
    @rule(which=st.integers(0, 100), connections=st.integers(0, 50))
    def speaks(self, which: int, connections: int) -> None:
        self.obey(self.roster.heard(self.now, sorted(self.alive)[which % len(self.alive)], connections))

    @precondition(lambda self: self.alive)
    @rule(which=st.integers(0, 100))
    def dies(self, which: int) -> None:
        number = sorted(self.alive)[which % len(self.alive)]
        self.alive.discard(number)
        self.obey(self.roster.ended(self.now, number))

    @precondition(lambda self: not self.roster.stopping)
    @rule(count=st.integers(1, 4))
    def renew(self, count: int) -> None:
        self.count = count
        self.obey(self.roster.renew(self.now, count))

    @rule()
    def stop(self) -> None:
        if not self.roster.stopping:
            self.obey(self.roster.stop())

    @rule()
    def picked(self) -> None:
        number = self.roster.pick(self.now)
        if number is not None:
            assert number in self.alive and number not in self.drained

    @invariant()
    def sound(self) -> None:
        assert set(self.roster.workers) == self.alive
        current = [w for w in self.roster.workers.values() if w.generation == self.roster.generation]
        assert len([w for w in current if w.phase is not Phase.DRAINING]) <= self.count


TestRoster = Machine.TestCase
TestRoster.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

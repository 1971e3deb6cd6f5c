"""Event-driven tests of the worker supervisor."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from juniperreel.workers.supervisor import (
    HEARTBEAT_LATE_US,
    HEARTBEAT_TIMEOUT_US,
    MAX_BACKOFF_US,
    SECOND_US,
    STABLE_UPTIME_US,
    STARTUP_TIMEOUT_US,
    Action,
    Drain,
    Kill,
    KillReason,
    Phase,
    Start,
    Supervisor,
)


def started_workers(actions: list[Action]) -> list[int]:
    return [action.worker for action in actions if isinstance(action, Start)]


def make_serving_supervisor(count: int = 3) -> Supervisor:
    supervisor = Supervisor(count, 1)
    for number in started_workers(supervisor.on_timer(0)):
        supervisor.on_heartbeat(0, number, 0)
    return supervisor


def test_connection_is_assigned_to_the_least_loaded_worker() -> None:
    supervisor = make_serving_supervisor()
    supervisor.on_heartbeat(1, 0, 5)
    supervisor.on_heartbeat(1, 1, 2)
    supervisor.on_heartbeat(1, 2, 4)
    assert [supervisor.assign_connection(2) for _ in range(2)] == [1, 1], (
        "connections assigned since the last heartbeat must count"
    )
    assert sorted(str(supervisor.assign_connection(2)) for _ in range(2)) == ["1", "2"]


def test_worker_without_heartbeat_gets_no_connection_and_is_killed_after_the_timeout() -> None:
    supervisor = make_serving_supervisor()
    now = HEARTBEAT_LATE_US + 1
    for number in (1, 2):
        supervisor.on_heartbeat(now, number, 100)
    assert supervisor.assign_connection(now) != 0
    for number in (1, 2):
        supervisor.on_heartbeat(HEARTBEAT_TIMEOUT_US + 1, number, 100)
    assert supervisor.on_timer(HEARTBEAT_TIMEOUT_US + 1) == [Kill(0, KillReason.HEARTBEAT_TIMED_OUT)]


def test_connection_after_a_stall_of_all_workers_is_assigned() -> None:
    assert make_serving_supervisor().assign_connection(5 * SECOND_US) is not None


def test_connection_is_not_assigned_before_a_worker_is_serving() -> None:
    supervisor = Supervisor(2, 1)
    supervisor.on_timer(0)
    assert supervisor.assign_connection(0) is None


def test_stable_worker_is_replaced_immediately_and_after_an_early_exit_with_backoff() -> None:
    supervisor = make_serving_supervisor(1)
    assert started_workers(supervisor.on_exit(STABLE_UPTIME_US + 1, 0)) == [1]
    backoffs = []
    now = STABLE_UPTIME_US + 1
    for number in range(1, 10):
        assert started_workers(supervisor.on_exit(now, number)) == []
        due_us = now
        while not started_workers(supervisor.on_timer(due_us)):
            due_us += 10_000
        backoffs.append(due_us - now)
        now = due_us
    assert all(a < 2.5 * b for a, b in pairwise(backoffs))
    assert backoffs[0] < SECOND_US
    assert MAX_BACKOFF_US / 2 <= backoffs[-1] <= MAX_BACKOFF_US
    assert supervisor.replaced == 10


def test_worker_that_is_not_serving_in_time_is_killed() -> None:
    supervisor = Supervisor(1, 1)
    supervisor.on_timer(0)
    assert supervisor.on_timer(STARTUP_TIMEOUT_US + 1) == [Kill(0, KillReason.STARTUP_TIMED_OUT)]


def test_reload_drains_the_old_generation_once_the_new_one_is_serving() -> None:
    supervisor = make_serving_supervisor(2)
    new = started_workers(supervisor.reload(SECOND_US, 3))
    assert len(new) == 3
    assert supervisor.on_heartbeat(2 * SECOND_US, new[0], 0) == []
    assert supervisor.on_heartbeat(2 * SECOND_US, new[1], 0) == []
    assert supervisor.on_heartbeat(2 * SECOND_US, new[2], 0) == [Drain(0), Drain(1)]
    assert {w.number for w in supervisor.serving()} == set(new)
    assert started_workers(supervisor.on_exit(3 * SECOND_US, 0)) == [], (
        "a draining worker must not be replaced"
    )
    assert supervisor.replaced == 0


def test_exit_of_an_old_worker_whose_slot_no_longer_exists_is_counted() -> None:
    """Guards against a crash of the parent process, which stops all its workers.

    It occurred when a worker exited whose slot a reload to fewer workers had removed.
    """
    supervisor = make_serving_supervisor(2)
    (new,) = started_workers(supervisor.reload(SECOND_US, 1))
    assert supervisor.on_exit(SECOND_US, 1) == []
    assert supervisor.replaced == 1
    assert supervisor.on_heartbeat(2 * SECOND_US, new, 0) == [Drain(0)]


def test_stop_drains_all_workers_and_starts_none() -> None:
    supervisor = make_serving_supervisor(2)
    assert supervisor.stop() == [Drain(0), Drain(1)]
    assert supervisor.on_exit(SECOND_US, 0) == []
    assert supervisor.on_timer(20 * SECOND_US) == []


class SupervisorMachine(RuleBasedStateMachine):
    """Random event sequences: slots are neither filled twice nor lost, draining workers are not replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.supervisor = Supervisor(3, 1)
        self.now_us = 0
        self.alive: set[int] = set()
        self.drained: set[int] = set()
        self.count = 3

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start(number, _, generation):
                    assert number not in self.alive
                    assert generation == self.supervisor.generation
                    self.alive.add(number)
                case Drain(number):
                    assert number in self.alive
                    assert number not in self.drained
                    self.drained.add(number)
                case Kill(number, _):
                    assert number in self.alive

    @rule(step_us=st.integers(1, 20 * SECOND_US))
    def advance(self, step_us: int) -> None:
        self.now_us += step_us
        self.execute(self.supervisor.on_timer(self.now_us))

    @precondition(lambda self: self.alive)
    @rule(index=st.integers(0, 100), connections=st.integers(0, 50))
    def send_heartbeat(self, index: int, connections: int) -> None:
        number = sorted(self.alive)[index % len(self.alive)]
        self.execute(self.supervisor.on_heartbeat(self.now_us, number, connections))

    @precondition(lambda self: self.alive)
    @rule(index=st.integers(0, 100))
    def exit(self, index: int) -> None:
        number = sorted(self.alive)[index % len(self.alive)]
        self.alive.discard(number)
        self.execute(self.supervisor.on_exit(self.now_us, number))

    @precondition(lambda self: not self.supervisor.stopping)
    @rule(count=st.integers(1, 4))
    def reload(self, count: int) -> None:
        self.count = count
        self.execute(self.supervisor.reload(self.now_us, count))

    @rule()
    def stop(self) -> None:
        if not self.supervisor.stopping:
            self.execute(self.supervisor.stop())

    @rule()
    def assign(self) -> None:
        number = self.supervisor.assign_connection(self.now_us)
        if number is not None:
            assert number in self.alive
            assert number not in self.drained

    @invariant()
    def check_workers(self) -> None:
        assert set(self.supervisor.workers) == self.alive
        current = [w for w in self.supervisor.workers.values() if w.generation == self.supervisor.generation]
        assert len([w for w in current if w.phase is not Phase.DRAINING]) <= self.count


TestSupervisor = SupervisorMachine.TestCase
TestSupervisor.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

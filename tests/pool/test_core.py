"""Model-based tests of the pool: connections are conserved, leases are exclusive, waits are bounded."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from juniperreel.pool.config import PoolConfig
from juniperreel.pool.core import Pool, PooledConnection
from juniperreel.pool.open_limiter import OpenLimiter
from juniperreel.pool.types import (
    AcquireRejected,
    AcquireRequest,
    CloseConnection,
    Lease,
    LeaseGranted,
    OpenConnection,
    PoolAction,
    RejectionReason,
)
from juniperreel.pool.wait_queue import FairWaitQueue, Waiter

SECOND_US = 1_000_000
CONFIG = PoolConfig(
    max_connections=6,
    min_connections=1,
    max_waiters=8,
    acquire_timeout_us=SECOND_US,
    idle_timeout_us=10 * SECOND_US,
    max_lifetime_us=60 * SECOND_US,
    open_rate=1,
    open_burst=2,
    tenant_shares=(0.5, 0.3, 0.2),
)


class PoolMachine(RuleBasedStateMachine):
    """Executes the pool's actions as its caller does, and compares the pool with an independent model."""

    config = CONFIG
    make_pool: Callable[[PoolConfig], Pool[int]] = staticmethod(lambda config: Pool(config, random.Random(1)))

    def __init__(self) -> None:
        super().__init__()
        self.pool = self.make_pool(self.config)
        self.now = 1
        self.last_connection = 0
        self.opening = 0
        self.idle: set[int] = set()
        self.leases: list[Lease[int]] = []
        self.waiting: dict[Any, int] = {}  # deadline by request id
        self.last_request = 0
        self.opened_at: list[int] = []

    def execute(self, actions: list[PoolAction[int]]) -> None:
        for action in actions:
            match action:
                case LeaseGranted(lease):
                    assert lease.connection in self.idle, "leased while not idle"
                    self.idle.discard(lease.connection)
                    assert lease.request.id in self.waiting, "granted to a request that is not waiting"
                    assert self.now <= self.waiting.pop(lease.request.id), "granted after its deadline"
                    self.leases.append(lease)
                case OpenConnection():
                    self.opening += 1
                    self.opened_at.append(self.now)
                case CloseConnection(connection):
                    self.idle.discard(connection)
                case AcquireRejected(request, reason):
                    deadline_us = self.waiting.pop(request.id)
                    assert reason is not RejectionReason.TIMED_OUT or self.now >= deadline_us, (
                        "rejected too early"
                    )

    @rule(step=st.integers(0, 3 * SECOND_US))
    def advance_and_tick(self, step: int) -> None:
        self.now += step
        self.execute(self.pool.tick(self.now))

    @rule(step=st.integers(0, 2 * SECOND_US))
    def advance_without_tick(self, step: int) -> None:
        """Simulate a caller that calls `tick` late."""
        self.now += step

    @rule(tenant=st.integers(-1, 3), weight=st.sampled_from([1.0, 3.0]), state=st.sampled_from([None, "a"]))
    def acquire(self, tenant: int, weight: float, state: str | None) -> None:
        self.last_request += 1
        self.waiting[self.last_request] = self.now + self.config.acquire_timeout_us
        request = AcquireRequest(self.last_request, tenant, weight, session_state=state)
        self.execute(self.pool.acquire(self.now, request))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[request_id]
        self.execute(self.pool.cancel(request_id))

    @precondition(lambda self: self.opening)
    @rule(outcome=st.sampled_from(["opened", "opened", "failed", "rejected", "cancelled"]))
    def complete_opening(self, outcome: str) -> None:
        self.opening -= 1
        if outcome == "opened":
            self.last_connection += 1
            self.idle.add(self.last_connection)
            self.execute(self.pool.connection_opened(self.now, self.last_connection))
        elif outcome == "cancelled":
            self.execute(self.pool.open_cancelled(self.now))
        else:
            self.execute(self.pool.open_failed(self.now, outcome == "rejected"))

    @precondition(lambda self: self.leases)
    @rule(data=st.data(), reusable=st.booleans(), state=st.sampled_from([None, "a", "b"]))
    def release(self, data: st.DataObject, reusable: bool, state: str | None) -> None:
        lease = data.draw(st.sampled_from(self.leases))
        self.leases.remove(lease)
        if reusable:
            self.idle.add(lease.connection)
        self.execute(self.pool.release(self.now, lease, reusable, state))
        with pytest.raises(ValueError, match="already released"):
            self.pool.release(self.now, lease, reusable, state)

    @precondition(lambda self: self.idle)
    @rule(data=st.data())
    def connection_lost(self, data: st.DataObject) -> None:
        connection = data.draw(st.sampled_from(sorted(self.idle)))
        self.idle.discard(connection)
        self.execute(self.pool.connection_lost(self.now, connection))

    @rule()
    def drain_and_resume(self) -> None:
        self.execute(self.pool.drain())
        assert not self.idle
        assert not self.waiting
        self.pool.resume()

    @invariant()
    def connections_are_conserved(self) -> None:
        pool = self.pool
        assert (pool.leased, pool.idle, pool.opening) == (len(self.leases), len(self.idle), self.opening)
        assert pool.waiting == len(self.waiting)
        assert pool.total <= self.config.max_connections
        leased = Counter(lease.connection for lease in self.leases)
        assert not leased or max(leased.values()) == 1, "one connection leased twice"

    @invariant()
    def opening_rate_is_limited(self) -> None:
        recent = [t for t in self.opened_at if t > self.now - SECOND_US]
        assert len(recent) <= self.config.open_burst + self.config.open_rate + 1

    @invariant()
    def no_request_waits_while_a_connection_is_idle(self) -> None:
        assert not (self.waiting and self.idle) or any(
            self.now >= deadline_us for deadline_us in self.waiting.values()
        )


SETTINGS = settings(max_examples=200, stateful_step_count=40, deadline=None)
PoolMachine.TestCase.settings = SETTINGS
TestPoolMachine = PoolMachine.TestCase


# Fault injection: the state machine must detect each of these faults.


class DoubleLeasePool(Pool[int]):
    def _grant(self, pooled: PooledConnection[int], request: AcquireRequest) -> LeaseGranted[int]:
        granted = super()._grant(pooled, request)
        if request.priority_weight > 1 and not self.waiting:
            self._idle.append(pooled)
        return granted


class LostTimeoutPool(Pool[int]):
    def tick(self, now_us: int) -> list[PoolAction[int]]:
        return [
            action
            for action in super().tick(now_us)
            if not (isinstance(action, AcquireRejected) and action.request.tenant == 2)
        ]


class UnlimitedRateLimiter(OpenLimiter):
    def available_tokens(self, _now_us: int) -> float:
        return 10.0


class UnlimitedRatePool(Pool[int]):
    def __init__(self, config: PoolConfig, random_source: random.Random) -> None:
        super().__init__(config, random_source)
        self._open_limiter = UnlimitedRateLimiter(
            config.max_connections, config.open_rate, config.open_burst, random_source
        )


class StaleConnectionPool(Pool[int]):
    def connection_lost(self, _now_us: int, _connection: int) -> list[PoolAction[int]]:
        return []


class LimitExceedingPool(Pool[int]):
    @property
    def connection_limit(self) -> int:
        return super().connection_limit + 1


class QueueWithoutDeadlines(FairWaitQueue):
    @staticmethod
    def _is_servable(_waiter: Waiter, _now_us: int) -> bool:
        return True


class ExpiredWaiterPool(Pool[int]):
    def __init__(self, config: PoolConfig, random_source: random.Random) -> None:
        super().__init__(config, random_source)
        self._waiters = QueueWithoutDeadlines(config.tenant_shares)


@pytest.mark.parametrize(
    "faulty_pool",
    [
        DoubleLeasePool,
        LostTimeoutPool,
        UnlimitedRatePool,
        StaleConnectionPool,
        LimitExceedingPool,
        ExpiredWaiterPool,
    ],
)
def test_state_machine_detects_an_injected_fault(faulty_pool: type[Pool[int]]) -> None:
    class FaultyPoolMachine(PoolMachine):
        config = replace(CONFIG, max_connections=2) if faulty_pool is LimitExceedingPool else CONFIG
        make_pool = staticmethod(lambda config: faulty_pool(config, random.Random(1)))

    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            FaultyPoolMachine,
            settings=settings(
                SETTINGS, max_examples=2000, derandomize=True, database=None, phases=[Phase.generate]
            ),
        )


# Directed tests.

ONE_CONNECTION = PoolConfig(max_connections=1, max_waiters=10_000, acquire_timeout_us=1 << 50, open_burst=100)


def pool_with_leases(config: PoolConfig, count: int) -> tuple[Pool[int], list[Lease[int]]]:
    pool: Pool[int] = Pool(config, random.Random(1))
    leases = []
    for n in range(count):
        pool.acquire(1, AcquireRequest(f"grow{n}"))
        (granted,) = [a for a in pool.connection_opened(1, n) if isinstance(a, LeaseGranted)]
        leases.append(granted.lease)
    return pool, leases


def granted_ids(actions: list[PoolAction[int]]) -> list[Any]:
    return [a.lease.request.id for a in actions if isinstance(a, LeaseGranted)]


def rejected_ids(actions: list[PoolAction[int]]) -> list[Any]:
    return [a.request.id for a in actions if isinstance(a, AcquireRejected)]


def test_waiters_are_served_by_tenant_share_and_within_it_by_priority_weight() -> None:
    config = replace(ONE_CONNECTION, tenant_shares=(0.75, 0.25))
    pool, (lease,) = pool_with_leases(config, 1)
    for n in range(400):
        pool.acquire(1, AcquireRequest(("a", n), 0, priority_weight=1 + n % 2))
        pool.acquire(1, AcquireRequest(("b", n), 1))
    served: list[Any] = []
    for _ in range(200):
        (granted,) = [a for a in pool.release(1, lease, True) if isinstance(a, LeaseGranted)]
        lease = granted.lease
        served.append(lease.request.id)
    of_a = [n for name, n in served if name == "a"]
    assert abs(len(of_a) - 150) <= 2
    assert of_a == [n for n in range(400) if n % 2][: len(of_a)], (
        "ordered by priority weight, then by arrival"
    )
    assert [n for name, n in served if name == "b"] == list(range(200 - len(of_a)))


def test_full_queue_evicts_from_the_tenant_most_over_its_share() -> None:
    config = replace(ONE_CONNECTION, max_waiters=20, tenant_shares=(0.5, 0.3, 0.2))
    pool, (lease,) = pool_with_leases(config, 1)
    rejected: list[Any] = []
    for n in range(200):
        rejected += rejected_ids(pool.acquire(1, AcquireRequest(("greedy", n), 0)))
    assert len(rejected) == 180
    assert pool.waiting == 20
    rejected = []
    for n in range(8):
        for tenant in (1, 2):
            actions = pool.acquire(2, AcquireRequest((tenant, n), tenant, priority_weight=1.0))
            rejected += rejected_ids(actions)
    assert [name for name, _ in rejected].count("greedy") >= 10
    assert pool.waiting == 20
    # Each tenant holds about its share of the queue, and the greedy tenant's oldest requests remain in it.
    assert next(t for name, t in rejected if name == "greedy") == 19
    (granted,) = pool.release(3, lease, True)
    assert isinstance(granted, LeaseGranted)


def test_request_that_waits_again_keeps_its_place() -> None:
    """A wait that timed out was followed by one behind all others, again and again."""
    pool, (lease,) = pool_with_leases(replace(ONE_CONNECTION, acquire_timeout_us=SECOND_US), 1)
    pool.acquire(1, AcquireRequest("older", waiting_since_us=1))
    pool.acquire(SECOND_US // 2, AcquireRequest("younger", waiting_since_us=SECOND_US // 2))
    assert rejected_ids(pool.tick(SECOND_US + 1)) == ["older"]
    pool.acquire(SECOND_US + 2, AcquireRequest("older again", waiting_since_us=1))
    assert granted_ids(pool.release(SECOND_US + 3, lease, True)) == ["older again"]


def test_full_queue_evicts_what_has_waited_least_over_all_its_waits() -> None:
    config = replace(ONE_CONNECTION, max_waiters=2, tenant_shares=(0.5, 0.5))
    pool, _ = pool_with_leases(config, 1)
    pool.acquire(10, AcquireRequest("younger", 0, waiting_since_us=10))
    pool.acquire(20, AcquireRequest("older again", 0, waiting_since_us=1))
    assert rejected_ids(pool.acquire(30, AcquireRequest("other tenant", 1))) == ["younger"]


def test_idle_tenant_accumulates_no_credit() -> None:
    config = replace(ONE_CONNECTION, tenant_shares=(0.5, 0.5))
    pool, (lease,) = pool_with_leases(config, 1)
    for n in range(300):
        pool.acquire(1, AcquireRequest(("a", n), 0))
    for _ in range(100):
        (granted,) = [a for a in pool.release(1, lease, True) if isinstance(a, LeaseGranted)]
        lease = granted.lease
    for n in range(100):
        pool.acquire(1, AcquireRequest(("b", n), 1))
    served = []
    for _ in range(100):
        (granted,) = [a for a in pool.release(1, lease, True) if isinstance(a, LeaseGranted)]
        lease = granted.lease
        (name, _) = cast(Any, lease.request.id)
        served.append(name)
    assert 45 <= served.count("b") <= 55, "an idle tenant must not accumulate credit"


def test_connection_with_matching_session_state_is_preferred_over_the_newest() -> None:
    pool, leases = pool_with_leases(PoolConfig(max_connections=4, open_burst=10), 3)
    for n, lease in enumerate(leases):
        pool.release(10 + n, lease, True, ["a", "b", "c"][n])
    (granted,) = pool.acquire(20, AcquireRequest("x", session_state="a"))
    assert isinstance(granted, LeaseGranted)
    assert granted.lease.connection == 0
    (granted,) = pool.acquire(20, AcquireRequest("y", session_state="z"))
    assert isinstance(granted, LeaseGranted)
    assert granted.lease.connection == 2


def test_openings_are_rate_limited_when_a_thousand_requests_arrive_at_once() -> None:
    """Simulates the recovery of an endpoint."""
    config = PoolConfig(
        max_connections=500, max_waiters=2000, acquire_timeout_us=5 * SECOND_US, open_rate=20, open_burst=5
    )
    pool: Pool[int] = Pool(config, random.Random(1))
    now = 1
    opened = 0
    number = 0
    for n in range(1000):
        opened += sum(isinstance(a, OpenConnection) for a in pool.acquire(now, AcquireRequest(n)))
    assert opened == 5
    leases: list[Lease[int]] = []
    while now < 2 * SECOND_US:
        now += 10_000
        actions = pool.tick(now)
        while pool.opening:
            number += 1
            actions += pool.connection_opened(now, number)
        opened += sum(isinstance(a, OpenConnection) for a in actions)
        leases += [a.lease for a in actions if isinstance(a, LeaseGranted)]
    assert 35 <= number <= 50
    assert len(leases) == number


def test_rejected_opening_lowers_the_connection_limit_which_then_rises_again() -> None:
    pool, leases = pool_with_leases(
        PoolConfig(max_connections=10, open_burst=20, acquire_timeout_us=60 * SECOND_US), 4
    )
    assert any(isinstance(a, OpenConnection) for a in pool.acquire(1, AcquireRequest("five")))
    assert pool.open_failed(2, rejected=True) == []
    assert pool.connection_limit == 4
    assert pool.rejected_openings == 1
    now = 3
    for _ in range(3):
        now += 5 * SECOND_US
        pool.tick(now)
    assert 5 <= pool.connection_limit <= 7
    assert granted_ids(pool.release(now, leases[0], True)) == ["five"]


def test_waiters_are_rejected_immediately_when_the_endpoint_is_unreachable() -> None:
    pool: Pool[int] = Pool(PoolConfig(max_connections=4), random.Random(1))
    first = AcquireRequest("a")
    second = AcquireRequest("b")
    pool.acquire(1, first)
    assert pool.open_failed(2, rejected=False) == [AcquireRejected(first, RejectionReason.UNREACHABLE)]
    assert pool.acquire(3, second) == [AcquireRejected(second, RejectionReason.UNREACHABLE)]
    assert any(isinstance(a, OpenConnection) for a in pool.acquire(3 * SECOND_US, AcquireRequest("c")))


def test_lifetimes_of_pools_started_together_are_jittered() -> None:
    ends = set()
    for seed in range(50):
        pool: Pool[int] = Pool(PoolConfig(max_connections=1, idle_timeout_us=1 << 50), random.Random(seed))
        pool.acquire(1, AcquireRequest("a"))
        (granted,) = pool.connection_opened(1, 1)
        assert isinstance(granted, LeaseGranted)
        pool.release(2, granted.lease, True)
        due_us = pool.next_tick_us(2)
        assert due_us is not None
        ends.add(due_us // (60 * SECOND_US))
    assert len(ends) > 8


def test_idle_connections_beyond_the_minimum_are_closed() -> None:
    pool, leases = pool_with_leases(
        PoolConfig(max_connections=4, min_connections=1, idle_timeout_us=10 * SECOND_US, open_burst=10), 3
    )
    for lease in leases:
        pool.release(2, lease, True)
    closed = [a for a in pool.tick(11 * SECOND_US) if isinstance(a, CloseConnection)]
    assert len(closed) == 2
    assert pool.idle == 1

"""Measures the effect and the cost of the connection pool's design decisions.

    .venv/bin/python benchmarks/pool.py [--plot docs/design/pool-openings.png] [--transactions 3000]

- the core in virtual time: the connections opened to an endpoint that has just recovered, with and without
  pacing (plotted), and how long tenants wait beside one that sends ten times its share, with a queue per
  tenant and with a single queue;
- the edge with fake endpoints: transactions per second and p99 by the number of connections to each endpoint,
  up to one per session;
- the memory of 10,000 idle sessions, none of which has a backend connection of its own.

The first part gives the same results on every machine; of the others only ratios within one run are
meaningful.
"""

from __future__ import annotations

import argparse
import heapq
import random
import resource
import sys
import tempfile
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("Agg")
import trio
import trio.testing
from matplotlib import pyplot

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from pool_soak import soak

from juniperreel.pool.config import PoolConfig
from juniperreel.pool.core import Pool
from juniperreel.pool.types import (
    AcquireRejected,
    AcquireRequest,
    Lease,
    LeaseGranted,
    OpenConnection,
    PoolAction,
)

US = 1_000_000
US_PER_MS = 1_000
SINGLE_QUEUE_TENANT = -1

OPEN_US = 5_000
OPEN_CONTENTION_US = 2_000  # for each other connection that the endpoint is accepting at the same time
TRANSACTION_US = 8_000
TRANSACTION_JITTER = (0.5, 1.5)

RECONNECT_PROXIES = 300
RECONNECT_CONNECTIONS = 5
RECONNECT_WAITERS = 20
RECONNECT_RATE = 20.0
RECONNECT_US = 5 * US
PLOT_BUCKET_US = 100_000

TENANT_SHARES = (0.6, 0.25, 0.15)
TENANT_LOADS = (0.9, 10.0, 0.9)  # relative to the capacity of its share
TENANT_LABELS = ("0.9 of its share of 60%", "ten times its share of 25%", "0.9 of its share of 15%")
TENANT_CONNECTIONS = 4
TENANT_US = 10 * US

SOAK_SESSIONS = 64
WARMUP_SESSIONS = 100
IDLE_SESSIONS = 10_000


class Arrival(NamedTuple):
    """When a request arrived, and from which tenant."""

    at_us: int
    tenant: int


@dataclass(order=True)
class Event:
    """A scheduled callback; events due at the same time run in the order in which they were scheduled."""

    due_us: int
    sequence: int
    callback: Callable[[], None]


class PoolModel:
    """The pools of several proxies in front of one endpoint, in virtual time.

    Opening a connection takes `OPEN_US`, and `OPEN_CONTENTION_US` more for each other connection that the
    endpoint is accepting at the same time; a transaction takes `TRANSACTION_US` on average.
    """

    def __init__(self, config: PoolConfig, proxies: int, seed: int = 1) -> None:
        self.pools: list[Pool[int]] = [Pool(config, random.Random(seed * 1000 + n)) for n in range(proxies)]
        self.random = random.Random(seed)
        self.now_us = 0
        self.events: list[Event] = []
        self.sequence = 0
        self.opening = 0
        self.opened_at: list[int] = []
        self.waits_us: dict[int, list[int]] = defaultdict(list)
        self.rejected: dict[int, int] = defaultdict(int)
        self.arrivals: dict[Any, Arrival] = {}
        self.single_queue = False

    def schedule(self, due_us: int, callback: Callable[[], None]) -> None:
        """Run `callback` at `due_us`."""
        self.sequence += 1
        heapq.heappush(self.events, Event(due_us, self.sequence, callback))

    def run(self, until_us: int) -> None:
        """Run all events up to `until_us`."""
        while self.events and self.events[0].due_us <= until_us:
            event = heapq.heappop(self.events)
            self.now_us = event.due_us
            event.callback()

    def execute(self, pool: Pool[int], actions: Iterable[PoolAction[int]]) -> None:
        """Execute the actions that a pool returned."""
        for action in actions:
            match action:
                case LeaseGranted(lease):
                    self._start_transaction(pool, lease)
                case OpenConnection():
                    self.opening += 1
                    due_us = self.now_us + OPEN_US + OPEN_CONTENTION_US * self.opening
                    self.schedule(due_us, lambda: self._finish_opening(pool))
                case AcquireRejected(request, _):
                    self.rejected[self.arrivals.pop(request.id).tenant] += 1

    def acquire(self, pool: Pool[int], tenant: int) -> None:
        """Let a request of a tenant arrive now."""
        self.sequence += 1
        self.arrivals[self.sequence] = Arrival(self.now_us, tenant)
        request = AcquireRequest(self.sequence, SINGLE_QUEUE_TENANT if self.single_queue else tenant)
        self.execute(pool, pool.acquire(self.now_us, request))

    def add_load(self, pool: Pool[int], tenant: int, rate: float, until_us: int) -> None:
        """Schedule a tenant's requests: a Poisson process of `rate` per second."""
        due_us = self.now_us
        while (due_us := due_us + int(self.random.expovariate(rate) * US)) < until_us:
            self.schedule(due_us, lambda: self.acquire(pool, tenant))

    def add_ticks(self, interval_us: int, until_us: int) -> None:
        """Schedule the ticks of all pools."""
        for due_us in range(0, until_us, interval_us):
            for pool in self.pools:
                self.schedule(due_us, lambda pool=pool: self._tick(pool))  # type: ignore[misc]

    def _tick(self, pool: Pool[int]) -> None:
        self.execute(pool, pool.tick(self.now_us))

    def _start_transaction(self, pool: Pool[int], lease: Lease[int]) -> None:
        arrival = self.arrivals.pop(lease.request.id)
        self.waits_us[arrival.tenant].append(self.now_us - arrival.at_us)
        duration_us = int(TRANSACTION_US * self.random.uniform(*TRANSACTION_JITTER))
        self.schedule(self.now_us + duration_us, lambda: self._finish_transaction(pool, lease))

    def _finish_transaction(self, pool: Pool[int], lease: Lease[int]) -> None:
        self.execute(pool, pool.release(self.now_us, lease, True))

    def _finish_opening(self, pool: Pool[int]) -> None:
        self.opening -= 1
        self.opened_at.append(self.now_us)
        self.execute(pool, pool.connection_opened(self.now_us, self.sequence))


def simulate_reconnect(paced: bool) -> PoolModel:
    """All proxies reconnect to a recovered endpoint at the same time, each with requests waiting."""
    config = PoolConfig(
        max_connections=RECONNECT_CONNECTIONS,
        max_waiters=100,
        acquire_timeout_us=2 * US,
        open_rate=2.0 if paced else 1e9,
        open_burst=1.0 if paced else 1e9,
    )
    model = PoolModel(config, RECONNECT_PROXIES)
    for pool in model.pools:
        for _ in range(RECONNECT_WAITERS):
            model.schedule(0, lambda pool=pool: model.acquire(pool, 0))  # type: ignore[misc]
        model.add_load(pool, 0, RECONNECT_RATE, RECONNECT_US)
    model.add_ticks(20_000, RECONNECT_US)
    model.run(RECONNECT_US)
    return model


def simulate_tenants(fair: bool) -> PoolModel:
    """Three tenants, the second of which sends ten times its share.

    Without `fair`, the pool gets all requests as those of one tenant; only the model knows their tenants.
    """
    config = PoolConfig(
        max_connections=TENANT_CONNECTIONS,
        max_waiters=400,
        acquire_timeout_us=500_000,
        open_burst=10,
        tenant_shares=TENANT_SHARES if fair else (),
    )
    model = PoolModel(config, 1)
    (pool,) = model.pools
    capacity = TENANT_CONNECTIONS / 0.008
    for tenant, (share, load) in enumerate(zip(TENANT_SHARES, TENANT_LOADS, strict=True)):
        model.add_load(pool, tenant, capacity * share * load, TENANT_US)
    model.single_queue = not fair
    model.add_ticks(10_000, TENANT_US)
    model.run(TENANT_US)
    return model


def percentile_ms(values_us: list[int], fraction: float) -> float:
    """A percentile in milliseconds; 0 if there are no values."""
    if not values_us:
        return 0.0
    ordered = sorted(values_us)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)] / US_PER_MS


def report_reconnect(plot: Path | None) -> None:
    """Print and plot how many connections are opened to an endpoint that has recovered."""
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    for label, paced in (("paced", True), ("not paced", False)):
        model = simulate_reconnect(paced)
        opened: dict[int, int] = defaultdict(int)
        for opened_us in model.opened_at:
            opened[opened_us // PLOT_BUCKET_US] += 1
        waits = [wait for waits_us in model.waits_us.values() for wait in waits_us]
        rejected = sum(model.rejected.values())
        print(
            f"endpoint recovered, {RECONNECT_PROXIES} proxies, {label}: "
            f"{max(opened.values())} connections opened in the worst 100 ms, "
            f"{len(model.opened_at)} in total; "
            f"waited p50 {percentile_ms(waits, 0.5):.0f} ms, p99 {percentile_ms(waits, 0.99):.0f} ms, "
            f"{rejected} rejected of {len(waits) + rejected}"
        )
        buckets = range(RECONNECT_US // PLOT_BUCKET_US)
        seconds = [bucket * PLOT_BUCKET_US / US for bucket in buckets]
        axes.step(seconds, [opened[bucket] for bucket in buckets], where="post", label=label)
    axes.set_xlabel("seconds after the endpoint has recovered")
    axes.set_ylabel("connections opened per 100 ms")
    axes.set_yscale("symlog")
    axes.legend()
    if plot is not None:
        figure.savefig(plot, dpi=110, bbox_inches="tight")


def report_tenants() -> None:
    """Print how long each tenant waits, with a queue per tenant and with a single queue."""
    for label, fair in (("queue per tenant", True), ("single queue", False)):
        model = simulate_tenants(fair)
        for tenant, load_label in enumerate(TENANT_LABELS):
            waits = model.waits_us[tenant]
            print(
                f"{label}, tenant that sends {load_label}: {len(waits)} served, "
                f"{model.rejected[tenant]} rejected, waited p50 {percentile_ms(waits, 0.5):.0f} ms, "
                f"p99 {percentile_ms(waits, 0.99):.0f} ms"
            )


def report_pool_sizes(transactions: int) -> None:
    """Print the throughput by the number of connections."""
    for connections in (1, 2, 4, 8, 16, 64):
        with tempfile.TemporaryDirectory() as directory:
            result = trio.run(soak, Path(directory), transactions, SOAK_SESSIONS, connections, 1)
        figures = result.summary.split(";")[0]
        print(f"{SOAK_SESSIONS} sessions, {connections} connections to each of 3 endpoints: {figures}")
        for violation in result.violations:
            print(f"violation: {violation}")


def report_session_memory() -> None:
    """Print the memory per idle session of the MySQL front end, logged in over an in-memory stream."""
    kib = trio.run(measure_session_kib)
    print(f"idle session with its client and both streams, in one process: {kib:.1f} KiB")


async def measure_session_kib() -> float:
    """Return the memory of one idle session, its client and their streams."""
    from juniperreel.frontends.mysql.classification import RequestClassifier
    from juniperreel.frontends.mysql.context import MysqlOptions
    from juniperreel.frontends.mysql.frontend import MysqlFrontend, generate_nonce
    from juniperreel.mysql.auth import Credential
    from juniperreel.mysql.client import ClientSession
    from juniperreel.net import Clock

    proxy_stub: Any = SimpleNamespace(options=SimpleNamespace(mysql=True, groups=1), log=None)
    credentials = {"app": Credential.from_password(b"app")}
    options = MysqlOptions(credentials, RequestClassifier([], 0, 0, -1), 20_000, 1 << 20)
    frontend = MysqlFrontend(proxy_stub, proxy_stub, Clock(), options, generate_nonce)
    sessions: list[Any] = []
    async with trio.open_nursery() as nursery:

        async def open_session() -> None:
            client_stream, server_stream = trio.testing.memory_stream_pair()
            nursery.start_soon(frontend._serve_connection, server_stream)
            client = ClientSession("app", b"app", "", 1 << 20)
            while client.state.value != "ready":
                client.receive(await client_stream.receive_some(4096))
                await client_stream.send_all(client.data_to_send())
            sessions.append((client_stream, client))

        for _ in range(WARMUP_SESSIONS):
            await open_session()
        before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for _ in range(IDLE_SESSIONS):
            await open_session()
        after_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        nursery.cancel_scope.cancel()
    return (after_kib - before_kib) / IDLE_SESSIONS


def main() -> None:
    """Run all parts of the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--transactions", type=int, default=3000)
    arguments = parser.parse_args()
    report_reconnect(arguments.plot)
    report_tenants()
    report_pool_sizes(arguments.transactions)
    report_session_memory()


if __name__ == "__main__":
    main()

"""What the pool's decisions cost and bring, in one run:

    .venv/bin/python benchmarks/pool.py [--plot docs/design/pool-openings.png] [--transactions 3000]

- the core in virtual time: connections opened at a member that is just back, with and without pacing
  (plotted), and how long tenants wait beside one that asks ten times its share, with shares and in one queue;
- the edge with stand-ins: transactions a second and p99 by connections to each member, up to one a session;
- memory of idle sessions: 10,000 of them without a connection of their own.

The first part is the same on every machine; of the others the ratios within one run count.
"""

from __future__ import annotations

import argparse
import heapq
import random
import resource
import sys
import tempfile
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import trio
import trio.testing
from matplotlib import pyplot

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from pool_soak import soak

from juniperreel.pool.core import Action, Give, Lease, Open, Pool, Sizes, Turn, Want

US = 1_000_000
SHARES = (0.6, 0.25, 0.15)


class Model:
    """Edges' pools before one member, in virtual time. Opening takes 5 ms, and 2 ms more for each other that
    the member is opening at once; a transaction takes 8 ms."""

    def __init__(self, sizes: Sizes, edges: int, seed: int = 1) -> None:
        self.pools: list[Pool[int]] = [Pool(sizes, random.Random(seed * 1000 + n)) for n in range(edges)]
        self.rng = random.Random(seed)
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.number = self.opening = 0
        self.opened: list[int] = []
        self.waits: dict[int, list[int]] = defaultdict(list)
        self.turned: dict[int, int] = defaultdict(int)
        self.came: dict[Any, tuple[int, int]] = {}  # when, and of which tenant
        self.one_queue = False

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()

    def do(self, pool: Pool[int], actions: list[Action[int]]) -> None:
        for action in actions:
            match action:
                case Give(lease):
                    came, tenant = self.came.pop(lease.want.id)
                    self.waits[tenant].append(self.now - came)
                    done = self.now + int(8_000 * self.rng.uniform(0.5, 1.5))
                    self.at(done, lambda lease=lease: self.done(pool, lease))  # type: ignore[misc]
                case Open():
                    self.opening += 1
                    self.at(self.now + 5_000 + 2_000 * self.opening, lambda: self.open(pool))
                case Turn(want, _):
                    self.turned[self.came.pop(want.id)[1]] += 1

    def done(self, pool: Pool[int], lease: Lease[int]) -> None:
        self.do(pool, pool.back(self.now, lease, True))

    def open(self, pool: Pool[int]) -> None:
        self.opening -= 1
        self.opened.append(self.now)
        self.do(pool, pool.opened(self.now, self.number))

    def ask(self, pool: Pool[int], tenant: int) -> None:
        self.number += 1
        self.came[self.number] = self.now, tenant
        self.do(pool, pool.ask(self.now, Want(self.number, -1 if self.one_queue else tenant)))

    def load(self, pool: Pool[int], tenant: int, rate: float, until: int) -> None:
        due = self.now
        while (due := due + int(self.rng.expovariate(rate) * US)) < until:
            self.at(due, lambda: self.ask(pool, tenant))

    def tick(self, every: int, until: int) -> None:
        for when in range(0, until, every):
            for pool in self.pools:
                self.at(when, lambda pool=pool: self.do(pool, pool.tick(self.now)))  # type: ignore[misc]


def returning(paced: bool) -> Model:
    """300 edges with 5 connections at most find a member again, all in the same moment, each with 20
    waiting."""
    rate, burst = (2.0, 1.0) if paced else (1e9, 1e9)
    sizes = Sizes(most=5, queue=100, wait_us=2 * US, open_rate=rate, open_burst=burst)
    model = Model(sizes, 300)
    for pool in model.pools:
        for _ in range(20):
            model.at(0, lambda pool=pool: model.ask(pool, 0))  # type: ignore[misc]
        model.load(pool, 0, 20, 5 * US)
    model.tick(20_000, 5 * US)
    model.run(5 * US)
    return model


def crowded(fair: bool) -> Model:
    """Three tenants, of 60, 25 and 15 parts, at 4 connections; the second asks for ten times its part. Not
    `fair`: the pool is told of one tenant, whose requests the model tells apart by their ids."""
    sizes = Sizes(most=4, queue=400, wait_us=500_000, open_burst=10, shares=SHARES if fair else ())
    model = Model(sizes, 1)
    (pool,) = model.pools
    able = 4 / 0.008
    for tenant, part in enumerate(SHARES):
        model.load(pool, tenant, able * part * (10 if tenant == 1 else 0.9), 10 * US)
    model.one_queue = not fair
    model.tick(10_000, 10 * US)
    model.run(10 * US)
    return model


def p(values: list[int], part: float) -> float:
    values = sorted(values)
    return values[min(int(len(values) * part), len(values) - 1)] / 1000 if values else 0.0


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--transactions", type=int, default=3000)
    o = parser.parse_args()
    openings(o.plot)
    tenants()
    sizes(o.transactions)
    memory()


def openings(plot: Path | None) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    for name, paced in (("paced", True), ("not paced", False)):
        model = returning(paced)
        per = defaultdict(int)
        for when in model.opened:
            per[when // 100_000] += 1
        waits = [w for ws in model.waits.values() for w in ws]
        print(
            f"a member back before 300 edges, {name}: {max(per.values())} connections opened in the worst "
            f"100 ms, {len(model.opened)} in all; waited p50 {p(waits, 0.5):.0f} ms, "
            f"p99 {p(waits, 0.99):.0f} ms, "
            f"{sum(model.turned.values())} turned away of {len(waits) + sum(model.turned.values())}"
        )
        axes.step([n / 10 for n in range(50)], [per[n] for n in range(50)], where="post", label=name)
    axes.set_xlabel("seconds after the member is back")
    axes.set_ylabel("connections opened in 100 ms")
    axes.set_yscale("symlog")
    axes.legend()
    if plot is not None:
        figure.savefig(plot, dpi=110, bbox_inches="tight")


def tenants() -> None:
    for way, fair in (("by shares", True), ("in one plain queue", False)):
        model = crowded(fair)
        for tenant, name in enumerate(("0.9 of its 60 parts", "ten times its 25", "0.9 of its 15")):
            waits = model.waits[tenant]
            print(
                f"{way}, a tenant that asks {name}: {len(waits)} served, {model.turned[tenant]} turned away, "
                f"waited p50 {p(waits, 0.5):.0f} ms, p99 {p(waits, 0.99):.0f}"
            )


def sizes(transactions: int) -> None:
    for connections in (1, 2, 4, 8, 16, 64):
        with tempfile.TemporaryDirectory() as folder:
            found, line = trio.run(soak, Path(folder), transactions, 64, connections, 1)
        print(f"64 sessions, {connections} connections to each of 3 members: {line.split(';')[0]}")
        for words in found:
            print(f"WRONG: {words}")


def memory() -> None:
    """Sessions of the MySQL front on streams in memory, logged in and idle."""

    async def run() -> float:
        from juniperreel.frontends.mysql.classification import StatementClassifier
        from juniperreel.frontends.mysql.context import MysqlOptions
        from juniperreel.frontends.mysql.frontend import MysqlFrontend, generate_nonce
        from juniperreel.mysql.auth import Credential
        from juniperreel.mysql.client import ClientSession
        from juniperreel.net import Clock

        class Nothing:
            class options:
                mysql = True
                groups = 1

            log: Any = None

        options = MysqlOptions(
            {"app": Credential.from_password(b"app")}, StatementClassifier([], 0, 0, -1), 20_000, 1 << 20
        )
        nothing: Any = Nothing()
        front = MysqlFrontend(nothing, nothing, Clock(), options, generate_nonce)
        keep: list[Any] = []
        async with trio.open_nursery() as nursery:

            async def one() -> None:
                ours, theirs = trio.testing.memory_stream_pair()
                nursery.start_soon(front._serve_connection, theirs)
                client = ClientSession("app", b"app", "", 1 << 20)
                while client.state.value != "ready":
                    client.receive(await ours.receive_some(4096))
                    await ours.send_all(client.data_to_send())
                keep.append((ours, client))

            for _ in range(100):
                await one()
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for _ in range(10_000):
                await one()
            after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            nursery.cancel_scope.cancel()
        return (after - before) / 10_000

    print(f"an idle session, its client and both streams in the same process: {trio.run(run):.1f} KiB")


if __name__ == "__main__":
    main()

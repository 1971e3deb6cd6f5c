"""Case 7: a driver whose machine's wall clock was stepped forward takes a cold member for a warm one.

Two drivers, one group: a primary and three replicas. One replica is replaced, as a rolling deploy does it.
The platform's clock (discovery, members, clients) is 30 s behind the one that the drivers read at their
start; with TROUBLE=0 both are the same.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from lab import TROUBLE, Attempt, Client, Discovery, Driver, Lab, Member, could_not_run, play, settings
from wire import new_id, read_statement, write_statement

STEP_S = 30.0  # by which the drivers' wall clock was stepped forward before they started
WORK_S = 0.06
CAPACITY_PER_S = 66.0  # requests that a warm member can do
READS_PER_S = 180.0  # 60 for each of three replicas: nine tenths of what they can do, a busy hour
WRITES_PER_S = 4.0
WARM_UP_S = 20.0
WATCHED_S = 25.0
COLD_FROM, COLD_S, FALL_MULTIPLE, WINDOW_S = 0.17, 16.0, 2.0, 3.0
SMALL_BUDGET = 30  # under which the operators' page allows more for chance


class ColdMember(Member):
    """A member that counts what it was sent; it answers at once what it can do."""

    async def work(self, _attempt: Attempt) -> None:
        """Take the mean work, more or less."""
        await asyncio.sleep(WORK_S * random.uniform(0.7, 1.3))


def capacity_between(from_s: float, to_s: float) -> float:
    """Return the requests that a member can do between two ages, growing evenly until it is warm."""

    def done_by(age_s: float) -> float:
        grown_s = min(age_s, COLD_S)
        grown = COLD_FROM * grown_s + (1 - COLD_FROM) * grown_s**2 / (2 * COLD_S)
        return CAPACITY_PER_S * (grown + max(age_s - COLD_S, 0.0))

    return done_by(to_s) - done_by(from_s)


def limit_between(from_s: float, to_s: float) -> float:
    """Return the number of requests above which a member falls."""
    budget = FALL_MULTIPLE * capacity_between(from_s, to_s)
    root = math.sqrt(budget)
    return budget + (3 * root + 3 if budget < SMALL_BUDGET else 2 * root + 2)


async def send_reads(driver: Driver, until_s: float, rate: float, answers: list[str], key: str) -> None:
    """Send reads at a rate, on connections that are used again."""
    idle: list[Client] = []
    running: set[asyncio.Task[None]] = set()
    numbers = itertools.count()

    async def ask() -> None:
        try:
            client = idle.pop() if idle else await driver.client()
            text = read_statement(new_id(), "own-read", f"{key}{next(numbers) % 200}", 2400)
            answer = await client.query(text)
            answers.append(answer.code or "served")
            idle.append(client)
        except (OSError, EOFError) as error:
            answers.append(type(error).__name__)

    while time.monotonic() < until_s:
        task = asyncio.create_task(ask())
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(random.expovariate(rate))
    await asyncio.gather(*running)


async def send_writes(driver: Driver, until_s: float, key: str) -> None:
    """Send writes of sessions that do not read."""
    client = await driver.client()
    while time.monotonic() < until_s:
        await client.query(write_statement(new_id(), "run-write", key, 4000))
        await asyncio.sleep(1 / WRITES_PER_S * 2)


async def case(lab: Lab) -> bool:
    """Replace a replica under load; return whether the new one was left standing."""
    platform = lab.platform
    members = [ColdMember(platform, f"db{i}", primary=i == 0) for i in range(4)]
    for member in members:
        await member.listen()
    discovery = Discovery(platform, [member.entry() for member in members])
    await discovery.listen()
    drivers = [await lab.driver(f"n{i}", discovery, settings()) for i in (1, 2)]
    started_s = time.monotonic()
    until_s = started_s + WARM_UP_S + WATCHED_S
    answers: list[str] = []
    load = [
        asyncio.create_task(send_reads(driver, until_s, READS_PER_S / 2, answers, driver.name))
        for driver in drivers
    ]
    load += [asyncio.create_task(send_writes(driver, until_s, f"w{driver.name}")) for driver in drivers]
    await asyncio.sleep(WARM_UP_S)

    served_before = answers.count("served")
    fresh = ColdMember(platform, "db9", primary=False, born_ms=int(platform.now_s() * 1000))
    born_s = time.monotonic()
    await fresh.listen()
    members[3].health = "Terminating"
    discovery.change(fresh.entry(), members[3].entry())
    await asyncio.gather(*load)

    platform.record.line(f"answers: { {name: answers.count(name) for name in sorted(set(answers))} }")
    if served_before < 0.8 * WARM_UP_S * READS_PER_S:
        could_not_run(f"only {served_before} reads were served before the replacement")
    ages = [attempt.at_s - born_s for attempt in fresh.attempts if attempt.at_s - born_s < COLD_S]
    platform.record.line(f"the new member got {len(ages)} requests in its first {COLD_S} s")
    worst = None
    for at_s in ages:
        from_s = max(at_s - WINDOW_S, 0.0)
        count = sum(from_s <= other_s <= at_s for other_s in ages)
        limit = limit_between(from_s, from_s + WINDOW_S)
        if worst is None or count / limit > worst[0]:
            worst = (count / limit, count, limit, at_s)
    if worst is None:
        could_not_run("the new member got nothing")
    platform.record.line(
        f"worst window of {WINDOW_S} s: {worst[1]} requests, {worst[2]:.1f} allowed, age {worst[3]:.2f} s"
    )
    print(f"worst window: {worst[1]} requests, {worst[2]:.1f} allowed, ended at age {worst[3]:.2f} s")
    return worst[0] <= 1.0


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent, clock_offset_s=-STEP_S if TROUBLE else 0.0))

"""Case 7: clients that send lengths which are huge make a driver use more memory than its limit.

One of two drivers, one group of a primary and two replicas, 100 reads a second of usual clients. From the
tenth second on, six other clients connect, say that a query of 60 MB comes, send its first 200 KB, read the
error that they get, and come again as soon as they are turned away. The platform's part: a driver that is
over its limit of memory is killed. With TROUBLE=0 there are the usual clients only.
"""

from __future__ import annotations

import asyncio
import random
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from lab import TROUBLE, Client, Discovery, Driver, Lab, Member, could_not_run, play, settings
from wire import new_id, read_statement, startup_message

MEMORY_MB = 128
SOCKETS = 512
READS_PER_S = 100.0
LENGTH_S = 90.0
TROUBLE_FROM_S = 10.0
BAD_CLIENTS = 6 if TROUBLE else 0
CLAIMED_BYTES = 60_000_000
SENT_BYTES = 200_000


async def send_reads(lab: Lab, driver: Driver, until_s: float, answers: list[str]) -> None:
    """Send reads at a rate, on connections that are used again."""
    idle: list[Client] = []
    running: set[asyncio.Task[None]] = set()

    async def ask() -> None:
        request_id = new_id()
        try:
            client = idle.pop() if idle else await driver.client()
            lab.record.line(f"client sends id={request_id}")
            key = f"acct-{random.randrange(300)}"
            answer = await client.query(read_statement(request_id, "own-read", key, 2400))
            idle.append(client)
        except (OSError, EOFError) as error:
            answers.append(type(error).__name__)
        else:
            answers.append(answer.code or "served")
        lab.record.line(f"client gets for id={request_id}: {answers[-1]}")

    while time.monotonic() < until_s and not driver.has_ended:
        task = asyncio.create_task(ask())
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(random.expovariate(READS_PER_S))
    if running:
        await asyncio.wait(running, timeout=3.0)


async def be_bad(lab: Lab, driver: Driver, until_s: float, turns: list[str]) -> None:
    """Send the beginning of a query whose length is huge, again and again."""
    while time.monotonic() < until_s and not driver.has_ended:
        try:
            reader, writer = await asyncio.open_connection(driver.host, driver.port)
            writer.write(startup_message() + b"Q" + struct.pack("!I", CLAIMED_BYTES) + b"x" * SENT_BYTES)
            received = await reader.read(65536)
            while received and b"FATAL" not in received:
                received = await reader.read(65536)
            turns.append("error" if received else "close")
            writer.transport.abort()
        except OSError as error:
            turns.append(type(error).__name__)
            await asyncio.sleep(0.01)
        if len(turns) % 100 == 0:
            lab.record.line(f"bad clients have come {len(turns)} times")


async def case(lab: Lab) -> bool:
    """Return whether the driver stayed within its limit of memory."""
    members = [Member(lab.platform, f"db{i}", primary=i == 0) for i in range(3)]
    for member in members:
        await member.listen()
    discovery = Discovery(lab.platform, [member.entry() for member in members])
    await discovery.listen()
    driver = await lab.driver("n1", discovery, settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    answers: list[str] = []
    turns: list[str] = []
    started_s = time.monotonic()
    until_s = started_s + LENGTH_S
    tasks = [asyncio.create_task(send_reads(lab, driver, until_s, answers))]
    peak_mb = 0.0
    while time.monotonic() < until_s and peak_mb <= MEMORY_MB:
        await asyncio.sleep(0.1)
        if len(tasks) == 1 and time.monotonic() - started_s > TROUBLE_FROM_S:
            tasks += [asyncio.create_task(be_bad(lab, driver, until_s, turns)) for _ in range(BAD_CLIENTS)]
        peak_mb = max(peak_mb, driver.memory_mb())
        lab.record.line(f"memory {driver.memory_mb():.1f} MB, bad clients came {len(turns)} times")
    over_after_s = time.monotonic() - started_s
    if peak_mb > MEMORY_MB:
        lab.record.line(f"the platform kills {driver.name}: {peak_mb:.1f} MB, limit {MEMORY_MB} MB")
        driver.end()
    await asyncio.gather(*tasks)
    counts = {name: answers.count(name) for name in sorted(set(answers))}
    told = {name: turns.count(name) for name in sorted(set(turns))}
    summary = (
        f"peak {peak_mb:.1f} MB of {MEMORY_MB}, after {over_after_s:.0f} s, {counts}, bad clients: {told}"
    )
    lab.record.line(summary)
    print(summary)
    if answers.count("served") < TROUBLE_FROM_S * READS_PER_S / 2:
        could_not_run("too little was served")
    return peak_mb <= MEMORY_MB


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

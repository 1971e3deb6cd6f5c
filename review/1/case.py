"""Bad clients send hundreds of commands at once; the driver has to stay within its memory limit."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import Client, World, perth_settings, run_case  # noqa: E402

LIMITS = {"cores": 0.5, "memory_mb": 64, "sockets": 256}
BAD_CLIENTS = 12
COMMANDS = 300  # "hundreds of commands at once"
VALUE_BYTES = 65_536  # "values no larger than 64 KiB"
USUAL_CLIENTS = 20
QUIET_S = 3.0
END_S = 20.0


async def usual_client(world: World, number: int, end: float, got: Counter[str]) -> None:
    """Ask one read after the other, on one connection."""
    client = await Client(world).connect()
    while time.monotonic() < end:
        request = world.new_id()
        world.record("sent", id=request, usual=number)
        client.send(world.read("board-read", f"run-{number}", 2000, request))
        try:
            answer = await asyncio.wait_for(client.receive(), 2.5)
        except TimeoutError:
            got["never answered"] += 1
            world.record("answered", id=request, kind="never")
            return
        got[answer.kind] += 1
        world.record("answered", id=request, kind=answer.kind, code=answer.code)
        if answer.kind == "lost":
            return
        await asyncio.sleep(0.3)
    client.close()


async def bad_client(world: World, number: int, got: Counter[str]) -> None:
    """Send all commands at full speed, and read what comes."""
    client = await Client(world).connect()

    async def read_answers() -> None:
        for _ in range(COMMANDS):
            answer = await client.receive()
            got["bad client: " + answer.kind] += 1
            if answer.kind == "lost":
                return

    reading = asyncio.ensure_future(read_answers())
    try:
        for command in range(COMMANDS):
            request = world.new_id()
            world.record("sent", id=request, bad=number)
            key = f"split-{number}-{command}"
            client.send(world.write("run-write", key, 5000, request, size=VALUE_BYTES, k=request))
            await client.writer.drain()
        await reading
    except ConnectionError:
        reading.cancel()


async def play(world: World, trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    for name in ("db-1", "db-2", "db-3"):
        member = await world.add_member(name)
        member.work = lambda _statement: world.random.expovariate(1 / 0.1)
        world.group.primary = world.group.primary or member
    for member in world.members:
        world.discovery.publish(member.entry())
    await world.discovery.start()
    await world.start_driver()
    assert world.process is not None
    watch = asyncio.ensure_future(world.watch_memory())
    start = time.monotonic()
    got: Counter[str] = Counter()
    tasks = [
        asyncio.ensure_future(usual_client(world, number, start + END_S, got))
        for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(QUIET_S)
    if trouble:
        tasks += [asyncio.ensure_future(bad_client(world, number, got)) for number in range(BAD_CLIENTS)]
    await asyncio.wait(tasks[:USUAL_CLIENTS], timeout=END_S + 10)
    crashed = world.process.poll() is not None or world.killed_for_memory
    for task in [watch, *tasks]:
        task.cancel()
    await asyncio.gather(watch, *tasks, return_exceptions=True)
    print(f"memory: {world.peak_mb:.1f} MB at most, limit {LIMITS['memory_mb']} MB")
    print("answers:", dict(got))
    print("the driver was killed" if crashed else "the driver ran to the end")
    world.record("end", memory_mb=round(world.peak_mb, 1), crashed=crashed)
    return int(crashed)


if __name__ == "__main__":
    sys.exit(run_case(HERE, perth_settings(), LIMITS, play))

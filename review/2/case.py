"""Bad clients send hundreds of commands at once; the usual clients have to get their answers in time."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
STANDINS = HERE.parent / "standins"
sys.path.insert(0, str(STANDINS))

from world import Client, World, perth_settings, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
BAD_CLIENTS = 80
COMMANDS = 300  # "hundreds of commands at once"
USUAL_CLIENTS = 20
CLASS_DEADLINE_MS = 2000
TRY_SHARE = (0.4, 1.0)  # "A try is given up after 40 to 100% of the class's give-up time"
LOST_AFTER_S = 0.55  # half a second after its time, and the 50 ms of every limit on sockets
WATCH_S = 3.0  # how long after its time an answer is still looked for
QUIET_S = 3.0
END_S = 20.0
MAX_LAG_S = 0.2  # of the stand-ins' own loop, beyond which nothing is judged


class Judge:
    """Counts the answers of the usual clients by what the rule says of them."""

    def __init__(self) -> None:
        self.got: Counter[str] = Counter()
        self.worst_s = 0.0
        self.lag_s = 0.0

    async def watch_own_loop(self) -> None:
        """Measure how late the loop of the stand-ins is, which would make answers look late."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, time.monotonic() - before - 0.01)


async def usual_client(world: World, judge: Judge, number: int, end: float) -> None:
    """Ask one read after the other, each with a time of its own."""
    client = await Client(world).connect()
    while time.monotonic() < end:
        d_ms = int(world.random.uniform(*TRY_SHARE) * CLASS_DEADLINE_MS)
        request = world.new_id()
        world.record("sent", id=request, d=d_ms, usual=number)
        started = time.monotonic()
        client.send(world.read("board-read", f"run-{number}", d_ms, request))
        try:
            answer = await asyncio.wait_for(client.receive(), d_ms / 1000 + WATCH_S)
        except TimeoutError:
            judge.got["never answered"] += 1
            world.record("answered", id=request, kind="never")
            return
        late_s = time.monotonic() - started - d_ms / 1000
        world.record("answered", id=request, kind=answer.kind, late_s=round(late_s, 3))
        if answer.kind == "lost":  # its connection was ended: not judged here
            judge.got["connection ended"] += 1
            client = await Client(world).connect()
            continue
        judge.worst_s = max(judge.worst_s, late_s)
        judge.got["lost: answered too late" if late_s > LOST_AFTER_S else answer.kind] += 1
        await asyncio.sleep(0.15)
    client.close()


async def play(world: World, trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    for name in ("db-1", "db-2", "db-3", "db-4"):
        member = await world.add_member(name)
        member.work = lambda _statement: world.random.expovariate(1 / 0.09)
        world.group.primary = world.group.primary or member
    for member in world.members:
        world.discovery.publish(member.entry())
    await world.discovery.start()
    await world.start_driver()
    judge = Judge()
    lag = asyncio.ensure_future(judge.watch_own_loop())
    end = time.monotonic() + END_S
    usual = [asyncio.ensure_future(usual_client(world, judge, n, end)) for n in range(USUAL_CLIENTS)]
    await asyncio.sleep(QUIET_S)
    crowd = None
    record = world.scratch / "crowd.txt"
    if trouble:
        arguments = [world.driver_port, BAD_CLIENTS, COMMANDS, record]
        crowd = subprocess.Popen([sys.executable, STANDINS / "crowd.py", *map(str, arguments)])
        world.helpers.append(crowd)
    await asyncio.wait(usual, timeout=END_S + 10)
    lag.cancel()
    if crowd is not None:
        crowd.kill()
        crowd.wait()
        if record.exists():
            for line in record.read_text(encoding="utf-8").splitlines():
                world.record("bad", seen=line)
    print("answers of the usual clients:", dict(judge.got))
    print(f"latest answer {judge.worst_s:.2f} s after its time; own loop {judge.lag_s:.3f} s late at most")
    if judge.lag_s > MAX_LAG_S:
        print("the stand-ins were held up: not judged")
        return 2
    return int(judge.got["never answered"] + judge.got["lost: answered too late"] > 0)


if __name__ == "__main__":
    sys.exit(run_case(HERE, perth_settings(), LIMITS, play))

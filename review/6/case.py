"""Case 6: a second copy of an answer, right behind it, is taken for the answer to another request.

Two drivers, one group: a primary and two replicas in another data centre, 1.4 to 2.6 ms away. After 4 of 100
answers a member sends the same answer once more, in the same moment, so that nothing can wait on the
connection. The answer is under way for 1.4 ms, the copy for 2.6 ms. Each value names its request, so a client
sees whether the value that it gets was made for it. Some clients send a write and a read of their session at
once.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from lab import (
    TROUBLE,
    Answer,
    Attempt,
    Client,
    Discovery,
    Driver,
    Lab,
    Member,
    could_not_run,
    play,
    service,
    settings,
)
from wire import new_id, read_statement, write_statement

ONE_WAY_S = 0.0014  # between the two data centres, at least
COPY_ONE_WAY_S = 0.0026  # and at most
COPIED = 0.04 if TROUBLE else 0.0  # share of the answers that are followed by a copy
CLIENTS = 12  # of each driver, which makes some 110 requests a second
PAUSE_S = 0.08  # mean, between an answer and the client's next request
PAIRS = 0.3  # share of the turns in which a client sends a write and a read at once
LENGTH_S = 70.0


class DistantMember(Member):
    """A member behind a link that takes `ONE_WAY_S` each way, and that copies some of its answers."""

    def __init__(self, *arguments: object, **names: object) -> None:
        super().__init__(*arguments, **names)
        self.copies = 0

    async def work(self, _attempt: Attempt) -> None:
        """Take 10 to 40 ms."""
        await asyncio.sleep(random.uniform(0.01, 0.04))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection whose messages are under way for `ONE_WAY_S` in both directions."""
        here = asyncio.StreamReader(limit=1 << 22)
        link = asyncio.create_task(carry(reader, here))
        try:
            await super().serve(here, Link(writer))
        finally:
            link.cancel()

    async def send_answer(
        self, attempt: Attempt, answer: bytes, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send an answer, and sometimes a copy right behind it."""
        writer.write(answer)
        if random.random() < COPIED:
            self.copies += 1
            self.platform.record.line(f"{self.name} copies its answer to id={attempt.id}")
            writer.write(answer, COPY_ONE_WAY_S)


class Link:
    """The way from a member to a driver: no message overtakes another."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._arrives_s = 0.0

    def write(self, data: bytes, takes_s: float = ONE_WAY_S) -> None:
        """Send a message."""
        loop = asyncio.get_running_loop()
        self._arrives_s = max(self._arrives_s, loop.time() + takes_s)
        loop.call_at(self._arrives_s, self._writer.write, data)


async def carry(reader: asyncio.StreamReader, there: asyncio.StreamReader) -> None:
    """Carry what a driver sends to its member, and its end as well."""
    loop = asyncio.get_running_loop()
    try:
        while data := await reader.read(65536):
            loop.call_later(ONE_WAY_S, there.feed_data, data)
    except OSError:
        pass  # a reset ends the other side, too
    loop.call_later(ONE_WAY_S, there.feed_eof)


def pilbara() -> dict[str, object]:
    """Return settings of pilbara-boards."""
    made = settings(
        balancers=3,
        membership_mode="push",
        load_report={"fields": ["x0", "x1", "busy_reqs"], "via": "inline"},
        ceilings={"second_copies": True},
        rules={"cold_s": 15.0, "fall_multiple": 2.5, "overload_for_s": 1.5},
        specifics={"lag_allowed_s": [0.5, 0.0, 0.0], "shows_role": "off"},
    )
    made["services"] = [
        service("board-read", objective_s=0.75, deadline_s=2.5, late_worth=0.0),
        service("own-read", objective_s=0.3, deadline_s=0.75, late_worth=0.0),
        service("run-write", objective_s=1.0, deadline_s=2.0, late_worth=0.5, memory_span_s=2.0),
    ]
    return made


def judge(request_id: str, answer: Answer) -> str:
    """Return what an answer is to the client that asked."""
    if answer.code is not None:
        return "refused" if answer.code in ("53300", "57P03") else "failed"
    return "served" if f"made for {request_id} ".encode() in (answer.value or b"") else "foreign"


async def run_client(lab: Lab, driver: Driver, number: int, until_s: float, seen: dict[str, int]) -> None:
    """Ask one or two requests, read the answers, and ask again."""
    client: Client | None = None
    key = f"acct-{driver.name}-{number}"
    while time.monotonic() < until_s:
        request_ids = [new_id()]
        texts = [read_statement(request_ids[0], "own-read", key, 740)]
        if random.random() < PAIRS:
            request_ids.insert(0, new_id())
            texts.insert(0, write_statement(request_ids[0], "run-write", key, 1900))
        try:
            client = client or await driver.client()
            for request_id, text in zip(request_ids, texts, strict=True):
                lab.record.line(f"client {key} sends id={request_id}")
                client.send(text)
            for request_id in request_ids:
                answer = await client.read_answer()
                kind = judge(request_id, answer)
                seen[kind] = seen.get(kind, 0) + 1
                lab.record.line(f"client {key} gets for id={request_id}: {kind}, {answer}")
        except (OSError, EOFError):
            client = None
            continue
        await asyncio.sleep(random.expovariate(1 / PAUSE_S))


async def case(lab: Lab) -> bool:
    """Return whether every value that a client got was made for its request."""
    members = [DistantMember(lab.platform, f"db{i}", primary=i == 0) for i in range(3)]
    for member in members:
        await member.listen()
    discovery = Discovery(lab.platform, [member.entry() for member in members])
    await discovery.listen()
    drivers = [await lab.driver(f"n{i}", discovery, pilbara()) for i in (1, 2)]
    until_s = time.monotonic() + LENGTH_S
    seen: dict[str, int] = {}
    await asyncio.gather(
        *(run_client(lab, driver, number, until_s, seen) for driver in drivers for number in range(CLIENTS))
    )
    copies = sum(member.copies for member in members)
    summary = f"answers: {dict(sorted(seen.items()))}, copies sent: {copies}"
    lab.record.line(summary)
    print(summary)
    if seen.get("served", 0) < LENGTH_S * 50 or (TROUBLE and copies < 100):
        could_not_run("too little was served or copied")
    return not seen.get("foreign")


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

"""Case 6: a second copy of an answer, right behind it, is taken for the answer to another client's request.

Two drivers, one group: a primary and two replicas in another data centre, 1.3 ms away each way. After 2 of
100 answers a member sends the same answer once more, 1 ms behind it and only if nothing waits on that
connection. Each value names its request, so a client sees whether the value that it gets was made for it.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from lab import TROUBLE, Attempt, Client, Discovery, Driver, Lab, Member, could_not_run, play, settings
from wire import STARTUP_ANSWER, new_id, read_statement, row_answer, write_statement

ONE_WAY_S = 0.0013  # between the two data centres
BEHIND_S = 0.001  # less than a round trip: what a driver sends upon the answer comes later
COPIED = 0.02 if TROUBLE else 0.0  # share of the answers that are followed by a copy
CLIENTS = 12  # of each driver
PAUSE_S = 0.08  # mean, between an answer and the client's next request
LENGTH_S = 60.0


class DistantMember(Member):
    """A member behind a link that takes `ONE_WAY_S` each way, and that copies some of its answers."""

    def __init__(self, *arguments: object, **names: object) -> None:
        super().__init__(*arguments, **names)
        self.copies = 0

    async def work(self, _attempt: Attempt) -> None:
        """Take 10 to 40 ms."""
        await asyncio.sleep(random.uniform(0.01, 0.04))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection whose bytes are under way for `ONE_WAY_S` in both directions."""
        here, there = socket.socketpair()
        here_reader, here_writer = await asyncio.open_connection(sock=here)
        there_reader, there_writer = await asyncio.open_connection(sock=there)
        link = [
            asyncio.create_task(carry(reader, there_writer)),
            asyncio.create_task(carry(there_reader, writer)),
        ]
        try:
            await self._serve_here(here_reader, here_writer)
        finally:
            for task in link:
                task.cancel()
            here_writer.transport.abort()
            there_writer.transport.abort()

    async def _serve_here(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        (size,) = struct.unpack("!I", await reader.readexactly(4))
        await reader.readexactly(size - 4)
        writer.write(STARTUP_ANSWER)
        while True:
            _, size = struct.unpack("!cI", await reader.readexactly(5))
            payload = await reader.readexactly(size - 4)
            await self.answer(payload[:-1].decode(), reader, writer)

    async def send_answer(
        self, attempt: Attempt, answer: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send an answer, and sometimes a copy right behind it."""
        writer.write(answer)
        if random.random() >= COPIED:
            return
        await asyncio.sleep(BEHIND_S)
        if reader._buffer or reader.at_eof():  # something waits on the connection: no copy
            return
        self.copies += 1
        self.platform.record.line(f"{self.name} copies its answer to id={attempt.id}")
        writer.write(row_answer(self.value(attempt), self.parameters()))


async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Carry bytes from one connection to another, `ONE_WAY_S` late, and its end as well."""
    loop = asyncio.get_running_loop()
    try:
        while data := await reader.read(65536):
            loop.call_later(ONE_WAY_S, writer.write, data)
    except OSError:
        pass  # a reset ends the other side, too
    loop.call_later(ONE_WAY_S, writer.transport.abort)


async def run_client(lab: Lab, driver: Driver, number: int, until_s: float, seen: dict[str, int]) -> None:
    """Ask one request after the other on one connection, and look whether each value was made for it."""
    client: Client | None = None
    key = f"acct-{driver.name}-{number}"
    while time.monotonic() < until_s:
        request_id = new_id()
        text = read_statement(request_id, "own-read", key, 2400)
        if random.random() < 0.15:
            text = write_statement(request_id, "run-write", key, 4500)
        try:
            client = client or await driver.client()
            lab.record.line(f"client {key} sends id={request_id}")
            answer = await client.query(text)
        except (OSError, EOFError):
            client = None
            continue
        kind = "failed"
        if answer.code is None:
            kind = "served" if f"made for {request_id} ".encode() in (answer.value or b"") else "foreign"
        elif answer.code in ("53300", "57P03"):
            kind = "refused"
        seen[kind] = seen.get(kind, 0) + 1
        lab.record.line(f"client {key} gets for id={request_id}: {kind}, {answer}")
        await asyncio.sleep(random.expovariate(1 / PAUSE_S))


async def case(lab: Lab) -> bool:
    """Return whether every value that a client got was made for its request."""
    members = [DistantMember(lab.platform, f"db{i}", primary=i == 0) for i in range(3)]
    for member in members:
        await member.listen()
    discovery = Discovery(lab.platform, [member.entry() for member in members])
    await discovery.listen()
    drivers = [await lab.driver(f"n{i}", discovery, settings()) for i in (1, 2)]
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

"""Bad clients in a process of their own: each sends hundreds of commands at once and reads the answers.

Arguments: the driver's port, the number of clients, the commands of each, and the file for the record.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from world import STARTUP, message

READY = b"Z\x00\x00\x00\x05I"
READ_BYTES = 65_536
GIVE_UP_S = 30.0


def command(client: int, number: int) -> bytes:
    """A small write of the protocol's form, with an id, a key and a row of its own."""
    request = os.urandom(8).hex()
    head = f"INSERT INTO objects (oid, body) VALUES ('split-{client}-{number}', '\\x00') RETURNING body"
    names = f"id={request},c=run-write,t=fastlap,d=5000,k={request},cluster=0"
    return message(b"Q", f"{head} /* {names} */".encode() + b"\0")


async def bad_client(port: int, client: int, commands: int) -> str:
    """Send everything at once, then read until all is answered; return what was seen."""
    sent = time.time()
    answers = 0
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(STARTUP + b"".join(command(client, number) for number in range(commands)))
        while answers < commands + 1:
            data = await asyncio.wait_for(reader.read(READ_BYTES), GIVE_UP_S)
            if not data:
                break
            answers += data.count(READY)
        writer.close()
    except (OSError, TimeoutError) as error:
        return f"client={client} sent={sent:.3f} error={type(error).__name__}"
    return f"client={client} sent={sent:.3f} done={time.time():.3f} answers={max(answers - 1, 0)}"


async def main() -> None:
    """Play all clients at the same time."""
    port, clients, commands = (int(text) for text in sys.argv[1:4])
    seen = await asyncio.gather(*(bad_client(port, number, commands) for number in range(clients)))
    Path(sys.argv[4]).write_text("".join(f"{line}\n" for line in seen), encoding="utf-8")


if __name__ == "__main__":
    asyncio.run(main())

"""Stopping a program by signal: once gracefully, twice at once."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio


async def until_signalled(run: Callable[[], Awaitable[None]], stop: trio.Event) -> int:
    """Runs `run`, sets `stop` at the first SIGTERM or SIGINT and cancels at the second. The exit status: 1 if
    it had to be cancelled."""
    code = 0
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

            async def serve() -> None:
                await run()
                nursery.cancel_scope.cancel()

            nursery.start_soon(serve)
            async for _ in signals:
                if stop.is_set():
                    code = 1
                    nursery.cancel_scope.cancel()
                stop.set()
    return code

"""Shutdown by signal, graceful or immediate."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

CANCELLED_STATUS = 1


async def run_until_signalled(run: Callable[[], Awaitable[None]], stop: trio.Event) -> int:
    """Await `run()`; the first SIGTERM or SIGINT sets `stop`, the second cancels it.

    Returns the exit status: 0, or CANCELLED_STATUS if it was cancelled.
    """
    status = 0
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(_run_then_cancel, run, nursery.cancel_scope)
            async for _ in signals:
                if stop.is_set():
                    status = CANCELLED_STATUS
                    nursery.cancel_scope.cancel()
                stop.set()
    return status


async def run_until_terminated(run: Callable[[], Awaitable[None]]) -> None:
    """Await `run()`; SIGTERM cancels it, so that it ends the processes that it started."""
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            nursery.start_soon(_run_then_cancel, run, nursery.cancel_scope)
            async for _ in signals:
                nursery.cancel_scope.cancel()


async def _run_then_cancel(run: Callable[[], Awaitable[None]], scope: trio.CancelScope) -> None:
    await run()
    scope.cancel()

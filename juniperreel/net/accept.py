"""The accept loop shared by all servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from juniperreel.net.network import Listener


async def serve_connections(
    listener: Listener,
    handle: Callable[[trio.abc.Stream], Awaitable[None]],
    task_status: trio.TaskStatus[int],
    *,
    has_capacity: Callable[[], bool] = lambda: True,
    after_accept: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Run `handle` in a task for each accepted connection, until cancelled or the listener is closed.

    Reports the listening port through `task_status`, and returns once the listener is closed and all handlers
    have finished. Connections accepted while `has_capacity` returns false are closed immediately.
    `after_accept` is awaited after each accept, before the capacity check.
    """
    async with trio.open_nursery() as nursery:
        task_status.started(listener.port)
        while True:
            try:
                stream = await listener.accept()
                if after_accept is not None:
                    await after_accept()
            except trio.ClosedResourceError:
                return
            if has_capacity():
                nursery.start_soon(handle, stream)
            else:
                await trio.aclose_forcefully(stream)

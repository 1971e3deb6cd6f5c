"""The accept loop on an in-memory listener."""

from __future__ import annotations

import trio
import trio.testing

from juniperreel.net.accept import serve_connections


class MemoryListener:
    """Yields the given streams, then behaves as closed."""

    port = 7

    def __init__(self, *streams: trio.abc.Stream) -> None:
        self._streams = list(streams)

    async def accept(self) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        if not self._streams:
            raise trio.ClosedResourceError
        return self._streams.pop(0)

    async def aclose(self) -> None:
        self._streams.clear()


async def test_serve_connections_on_a_closed_listener_returns_after_its_handlers(
    nursery: trio.Nursery,
) -> None:
    _, server_end = trio.testing.memory_stream_pair()
    release = trio.Event()
    returned = trio.Event()
    handled: list[trio.abc.Stream] = []

    async def handle(stream: trio.abc.Stream) -> None:
        await release.wait()
        handled.append(stream)

    async def serve(task_status: trio.TaskStatus[int]) -> None:
        await serve_connections(MemoryListener(server_end), handle, task_status)
        returned.set()

    assert await nursery.start(serve) == MemoryListener.port
    await trio.testing.wait_all_tasks_blocked()
    assert not returned.is_set()
    release.set()
    with trio.fail_after(5):
        await returned.wait()
    assert handled == [server_end]


async def test_serve_connections_without_capacity_closes_the_connection() -> None:
    client_end, server_end = trio.testing.memory_stream_pair()
    handled: list[trio.abc.Stream] = []

    async def handle(stream: trio.abc.Stream) -> None:
        handled.append(stream)

    await serve_connections(
        MemoryListener(server_end), handle, trio.TASK_STATUS_IGNORED, has_capacity=lambda: False
    )
    assert handled == []
    with trio.fail_after(5):
        assert await client_end.receive_some(1) == b""


async def test_serve_connections_runs_after_accept_before_checking_capacity() -> None:
    _, server_end = trio.testing.memory_stream_pair()
    order: list[str] = []

    async def after_accept() -> None:
        order.append("after_accept")

    def has_capacity() -> bool:
        order.append("capacity")
        return True

    async def handle(_stream: trio.abc.Stream) -> None:
        order.append("handle")

    await serve_connections(
        MemoryListener(server_end),
        handle,
        trio.TASK_STATUS_IGNORED,
        has_capacity=has_capacity,
        after_accept=after_accept,
    )
    assert order == ["after_accept", "capacity", "handle"]

"""One MySQL client's connection: login, pipelined commands, and writing."""

from __future__ import annotations

from typing import Protocol

import trio

from juniperreel.frontends.mysql.commands import CommandHandler
from juniperreel.frontends.mysql.context import FrontendContext
from juniperreel.frontends.mysql.errors import SHUTDOWN_RESPONSE
from juniperreel.frontends.mysql.prefixed_stream import PrefixedStream
from juniperreel.mysql.server import (
    Command,
    ConnectionClosed,
    Event,
    LoggedIn,
    ServerSession,
    StartTls,
    State,
)
from juniperreel.net import has_unread_bytes

READ_BYTES = 64 << 10
LOGIN_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 30.0  # for a response, or a part of one; a client that does not read is disconnected
MAX_PIPELINED_BYTES = 1 << 20  # of commands queued behind the one in flight


class ConnectionOwner(Protocol):
    """The interface through which a connection uses its front end."""

    @property
    def draining(self) -> bool:
        """Whether the edge is shutting down, and connections start nothing new."""
        ...

    def on_command_started(self) -> None:
        """Report that a command has arrived."""
        ...

    def on_command_finished(self) -> None:
        """Report that all received commands are answered and the answers sent."""
        ...

    def statistics(self) -> str:
        """The answer to COM_STATISTICS."""
        ...


class Connection:
    """One client's socket, and the protocol spoken on it."""

    def __init__(
        self,
        owner: ConnectionOwner,
        context: FrontendContext,
        protocol: ServerSession,
        stream: trio.abc.Stream,
    ) -> None:
        """`stream` is replaced by a TLS stream around it where the client asks for one."""
        self._owner = owner
        self._options = context.options
        self._protocol = protocol
        self._stream = stream
        self._transport = stream  # the socket, also below a TLS stream
        self._commands = CommandHandler(context, protocol, self._flush, owner.statistics)
        self._is_busy = False  # from a command's arrival until its answer is sent
        self._unprocessed_reads = 0  # chunks received and not yet parsed

    async def run(self) -> None:
        """Serve the client until either side ends the connection.

        Keeps reading while a command is in flight, so that it is cancelled when the client disconnects.
        """
        events: list[Event] | None = None
        # Without a time-out a client that sends nothing would hold a descriptor indefinitely.
        with trio.move_on_after(LOGIN_TIMEOUT_S):
            events = await self._login()
        if events is None:
            return
        send, receive = trio.open_memory_channel[bytes](1)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read, send, nursery.cancel_scope)
                await self._process(events, receive)
                nursery.cancel_scope.cancel()
        finally:
            self._commands.close()

    async def _process(self, events: list[Event], receive: trio.MemoryReceiveChannel[bytes]) -> None:
        """Handle events in order until the protocol is closed."""
        self._is_busy = bool(events)
        while True:
            await self._flush()
            if self._protocol.state is State.CLOSED:
                return
            if events:
                events += await self._handle(events.pop(0))
                continue
            self._is_busy = False
            self._owner.on_command_finished()
            events = self._protocol.receive(await receive.receive())
            self._is_busy = bool(events)
            self._unprocessed_reads -= 1

    @property
    def blocks_drain(self) -> bool:
        """Whether a graceful shutdown has to wait for this connection.

        That is so while a command is in flight, an answer is unsent, received commands are queued, or a
        transaction is open.
        """
        transaction = self._commands.scope.transaction
        return (
            self._is_busy
            or self._unprocessed_reads > 0
            or has_unread_bytes(self._transport)
            or (transaction is not None and transaction.open)
        )

    async def _flush(self) -> None:
        with trio.fail_after(SEND_TIMEOUT_S):
            await self._stream.send_all(self._protocol.data_to_send())

    async def _login(self) -> list[Event] | None:
        """Run the connection phase.

        Returns the login and the commands that came with it; None if the client was rejected or disconnected.
        """
        while True:
            await self._stream.send_all(self._protocol.data_to_send())
            if self._protocol.state is State.CLOSED:
                return None
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            events = self._protocol.receive(bytes(data))
            start_tls = next((event for event in events if isinstance(event, StartTls)), None)
            if start_tls is not None and self._options.tls is not None:
                await self._start_tls(start_tls)
            elif self._protocol.state not in (State.AUTH, State.SWITCH):
                return events

    async def _start_tls(self, start_tls: StartTls) -> None:
        assert self._options.tls is not None
        prefixed = PrefixedStream(self._stream, start_tls.rest)
        tls_stream = trio.SSLStream(prefixed, self._options.tls, server_side=True)
        await tls_stream.do_handshake()
        self._stream = tls_stream

    async def _read(self, send: trio.MemorySendChannel[bytes], scope: trio.CancelScope) -> None:
        """Pass on received bytes; cancel `scope` when the client disconnects or pipelines too much."""
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data or self._protocol.buffered_bytes > MAX_PIPELINED_BYTES + self._options.max_packet:
                scope.cancel()
                return
            self._unprocessed_reads += 1
            await send.send(bytes(data))

    async def _handle(self, event: Event) -> list[Event]:
        """Handle one event; returns those of commands that arrived meanwhile."""
        match event:
            case Command():
                return await self._handle_command(event)
            case LoggedIn():
                self._commands.on_login(event)
                return []
            case StartTls() | ConnectionClosed():
                return []

    async def _handle_command(self, command: Command) -> list[Event]:
        if self._owner.draining and self._commands.scope.transaction is None:
            SHUTDOWN_RESPONSE.write_to(self._protocol)
            self._protocol.close("the edge is stopping")
            return []
        self._owner.on_command_started()
        return await self._commands.handle(command)

"""One HTTP/2 connection, either side: the state machine of `http2` with the trio tasks around it.

Owns the socket, the streams open on it, flow control and keepalive. Knows headers, messages and resets;
must never know services, retries or addresses. All state belongs to one trio thread, and the machine is never
called across a checkpoint, so no locks are needed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import trio

from juniperreel.net import Clock, StallMonitor
from juniperreel.rpc import http2
from juniperreel.rpc.framing import Deframer, frame
from juniperreel.rpc.guards import Guard
from juniperreel.rpc.http2 import Event, Http2
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.metadata import Headers
from juniperreel.rpc.status import Code, RpcError

READ_BYTES = 64 << 10
PACED_BYTES = 16 << 10  # from peers whose new requests have to wait for their turn
MAX_FRAME = 16 << 10  # peers that take frames of megabytes would let one stream fill the buffer
MAX_STREAM_ID = (1 << 31) - 1
PING = b"juniperr"
LINGER_S = 1.0  # for the last words to be read by a peer that still writes


class LinkLost(Exception):
    """The connection ended under a stream. `sent` tells whether the peer may have seen the stream at all."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class StreamGone(Exception):
    """The peer reset the stream. `processed` is False where it says that it never looked at it."""

    def __init__(self, code: int, processed: bool) -> None:
        super().__init__(f"stream reset with HTTP/2 error {code}")
        self.code = code
        self.processed = processed


class Wakeup:
    """Tasks wait until woken; waking with nobody there does nothing."""

    __slots__ = ("_lot",)

    def __init__(self) -> None:
        self._lot: trio.lowlevel.ParkingLot | None = None

    async def wait(self) -> None:
        if self._lot is None:
            self._lot = trio.lowlevel.ParkingLot()
        await self._lot.park()

    def wake(self) -> None:
        if self._lot:
            self._lot.unpark_all()


class Stream:
    """One HTTP/2 stream: headers, then messages, then perhaps trailers."""

    def __init__(self, link: Link, number: int, queued_at: int) -> None:
        self.link = link
        self.number = number
        self.queued_at = queued_at  # bytes queued on the link before the stream's first
        self.headers: dict[str, str] | None = None
        self.raw_headers: Headers = []
        self.trailers: Headers | None = None
        self.ended = False  # the peer sends no more
        self.closed = False  # neither do we; nothing of it is open
        self.failure: Exception | None = None
        self.changed = Wakeup()
        self.arrived_us = 0  # since when its first bytes may have waited to be read
        self.scope: trio.CancelScope | None = None  # of a handler, cancelled with the stream
        self.messages: deque[bytes] = deque()
        self.deframer = Deframer(link.limits.message_bytes, None)
        self._held = 0  # bytes of DATA not yet acknowledged, while messages wait to be taken
        self._buffered = 0

    def set_encoding(self, encoding: str | None) -> None:
        if encoding is not None:
            self.deframer = Deframer(self.link.limits.message_bytes, encoding)

    def take_data(self, data: bytes, credit: int) -> None:
        """Called by the link. Danger: a peer that sends faster than its messages are taken; from the
        first message that waits on, its window is not opened again."""
        self._buffered += len(data)
        self.link.buffered += len(data)
        if self.link.buffered > self.link.limits.buffered_bytes:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many bytes are waiting on this connection")
        message = self.deframer.whole(data)
        if message is not None:
            self.messages.append(message)
        else:
            self.deframer.feed(data)
            while (message := self.deframer.next()) is not None:
                self.messages.append(message)
        if self.messages:
            self._held += credit
        else:
            self.link.acknowledge(self, credit)

    async def message(self) -> bytes | None:
        """The next message; None once the peer has ended. Raises what ended the stream otherwise."""
        while not self.messages:
            if self.failure is not None:
                raise self.failure
            if self.ended:
                if not self.deframer.empty:
                    raise RpcError(Code.INTERNAL, "the stream ended inside a message")
                return None
            await self.changed.wait()
        message = self.messages.popleft()
        if not self.messages:
            self._release()
        return message

    def _release(self) -> None:
        """Danger: credit that is not given back with a stream shuts the whole connection's window."""
        self.link.buffered -= self._buffered
        held, self._buffered, self._held = self._held, 0, 0
        self.link.acknowledge(self, held)

    def fail(self, failure: Exception) -> None:
        if self.failure is None:
            self.failure = failure
        self.close()

    def close(self) -> None:
        self.closed = True
        self._release()
        self.changed.wake()


class Link:
    """One connection. `run` does its work; the other methods may be called meanwhile by any task."""

    def __init__(
        self,
        transport: trio.abc.Stream,
        client: bool,
        limits: Limits,
        clock: Clock,
        on_request: Callable[[Stream], None] | None = None,
        pace: StallMonitor | None = None,
    ) -> None:
        """`on_request` is called for each new stream of the peer, with all that was read together with its
        headers. With a `pace`, what is read waits for its turn."""
        self.limits = limits
        self.client = client
        self.clock = clock
        self.streams: dict[int, Stream] = {}
        self.buffered = 0
        self.ready = trio.Event()  # the peer's SETTINGS are here
        self.over = trio.Event()
        self.why = ""  # it ended
        self.going = False  # no new streams: one of the sides said GOAWAY
        self.idle = Wakeup()
        self._transport = transport
        self._on_request = on_request
        self._pace = pace
        self._new: list[Stream] = []
        self._starved = 0  # senders that wait for a window
        self._since_us = clock.now_us()  # what is read next cannot have come before
        self._guard = Guard(limits)
        self._h2 = Http2(client, limits)
        self._given = 0  # bytes handed to the socket; what waits is in the machine's `out`
        self._written = 0  # of those, taken by it
        self._to_write, self._room = Wakeup(), Wakeup()
        self._finishing = False
        self._heard_us = clock.now_us()
        self._pinged_us = 0
        self._scope: trio.CancelScope | None = None

    # Its life.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until the connection ends, for whatever reason; never raises for what the peer does."""
        self._flush()
        try:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._watch)
                    task_status.started()
                    await self._read()
                    nursery.cancel_scope.cancel()
        finally:
            self._lost(self.why or "the connection was closed")
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio.aclose_forcefully(self._transport)

    def _lost(self, why: str) -> None:
        self.why = self.why or why
        self.going = True
        self.over.set()
        self.ready.set()
        for stream in list(self.streams.values()):
            stream.fail(LinkLost(self.why, self._may_be_seen(stream)))
            if stream.scope is not None:
                stream.scope.cancel()
        self.streams.clear()
        self._room.wake()
        self.idle.wake()

    def _may_be_seen(self, stream: Stream) -> bool:
        return self._given > stream.queued_at

    def abort(self, why: str) -> None:
        """End it now; what waits is dropped."""
        self.why = self.why or why
        if self._scope is not None:
            self._scope.cancel()

    def go_away(self, code: int = 0, debug: bytes = b"") -> None:
        """Take no new streams and say so. Streams up to the last one taken may finish."""
        if not self.over.is_set():
            self.going = True
            self._h2.goaway(code, debug)
            self._flush()

    async def finish(self) -> None:
        """A graceful end: GOAWAY, then wait for the streams, then close what is written out."""
        self.go_away()
        while self.streams and not self.over.is_set():
            await self.idle.wait()
        if not self.client:
            # Danger: what the peer sent before it saw the GOAWAY meets a closed socket, whose reset tells it
            # nothing of what was looked at. So it is refused stream by stream, until the peer has closed.
            with trio.move_on_after(LINGER_S):
                await self.over.wait()
        self._finishing = True
        self._to_write.wake()
        await self.over.wait()

    # Writing.

    @property
    def _queued(self) -> int:
        """Bytes ever put into the machine's `out`."""
        return self._given + len(self._h2.out)

    def _flush(self) -> None:
        out = len(self._h2.out)
        if out > self.limits.control_buffer + self.limits.send_buffer:
            # Danger: a peer that never reads what its pings and resets make us answer.
            self.abort("the peer does not read")
        if out:
            self._to_write.wake()

    async def _write(self) -> None:
        while True:
            while not self._h2.out:
                if self._finishing:
                    self.abort("finished")
                await self._to_write.wait()
            chunk, self._h2.out = self._h2.out, bytearray()
            self._given += len(chunk)
            try:
                await self._transport.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.abort(f"the connection broke while writing: {error.__cause__ or error}")
                return
            self._written += len(chunk)
            self._room.wake()

    async def written(self, timeout_us: int) -> None:
        """Until all that is queued now has been taken by the socket, or the time is over."""
        target = self._queued
        with trio.move_on_after(timeout_us / 1_000_000):
            while self._written < target and not self.over.is_set():
                await self._room.wait()

    # Reading.

    async def _read(self) -> None:
        pace, size = self._pace, READ_BYTES if self._pace is None else PACED_BYTES
        while True:
            polls = pace.poll_count if pace is not None else 0
            try:
                data = await self._transport.receive_some(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.why = self.why or f"the connection was reset: {error.__cause__ or error}"
                return
            if not data:
                self.why = self.why or "the peer closed the connection"
                return
            self._heard_us = self.clock.now_us()
            if pace is None:
                self._since_us = self._heard_us
            elif pace.last_poll_blocked or pace.poll_count > polls + 1:  # nothing was there before
                self._since_us = max(self._since_us, pace.ready_since_us)
            try:
                if pace is None:
                    self._take(data)
                else:
                    await pace.wait_for_new_work_budget()
                    began = pace.begin_new_work()
                    self._take(data)
                    pace.end_new_work(began)
            except Exception as error:  # danger: whatever a peer sends must not end more than its connection
                await self._refuse(error)
                return
            if len(data) < size:
                self._since_us = self._heard_us

    def _take(self, data: bytes | bytearray) -> None:
        for event in self._h2.receive(bytes(data)):
            self._on(event)
        new, self._new = self._new, []
        for stream in new:
            if not stream.closed and self._on_request is not None:
                self._on_request(stream)
        self._flush()

    async def _refuse(self, error: Exception) -> None:
        """Danger: a socket closed while the peer still writes is reset, and the reset takes with it what the
        peer has not read yet: the GOAWAY that says why. So it is left to finish, for a moment."""
        self.why = self.why or f"the peer broke the protocol: {type(error).__name__}: {error}"[:300]
        self.going = True
        self._flush()
        with trio.move_on_after(LINGER_S):
            while self._written < self._queued:
                await self._room.wait()
            try:
                if isinstance(self._transport, trio.abc.HalfCloseableStream):
                    await self._transport.send_eof()
                while await self._transport.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    def _on(self, event: Event) -> None:
        match event:
            case http2.Received():
                self._on_data(event)
            case http2.Opened(number, block, ended):
                self._on_new_stream(number, block, ended)
            case http2.Answered(number, block, ended):
                stream = self.streams.get(number)
                if stream is not None:
                    self._guard.moved()
                    stream.raw_headers, stream.headers = block.headers, block.fields
                    stream.ended = ended
                    stream.set_encoding(block.fields.get("grpc-encoding"))
                    stream.changed.wake()
            case http2.Trailed(number, block):
                stream = self.streams.get(number)
                if stream is not None:
                    stream.trailers = block.headers
                    stream.ended = True
                    stream.changed.wake()
            case http2.WasReset(number, code):
                self._on_reset(number, code)
            case http2.WindowOpened(number):
                if number:
                    stream = self.streams.get(number)
                    if stream is not None:
                        stream.changed.wake()
                elif self._starved:
                    self._wake_all()
            case http2.SettingsChanged():
                self.ready.set()
                self._calm(self._guard.settings(self.clock.now_us()))
                self._wake_all()
            case http2.Pinged():
                self._calm(self._guard.ping(self.clock.now_us()))
            case http2.PingAnswered():
                self._pinged_us = 0
            case http2.GoingAway(last, code):
                self._on_goaway(last, code)

    def _wake_all(self) -> None:
        for stream in self.streams.values():
            stream.changed.wake()
        self.idle.wake()

    def _calm(self, complaint: str | None) -> None:
        if complaint is not None:
            self.go_away(http2.ENHANCE_YOUR_CALM, complaint.encode())
            raise ConnectionError(complaint)

    def _on_new_stream(self, number: int, block: http2.Block, ended: bool) -> None:
        self._guard.moved()
        if self.going or self._on_request is None:
            self._h2.reset(number, http2.REFUSED_STREAM)
            return
        stream = Stream(self, number, self._queued)
        stream.raw_headers, stream.headers = block.headers, block.fields
        stream.ended = ended
        stream.set_encoding(block.fields.get("grpc-encoding"))
        stream.arrived_us = self._since_us
        self.streams[number] = stream
        self._new.append(stream)

    def _on_data(self, event: http2.Received) -> None:
        stream = self.streams.get(event.stream)
        if stream is None or stream.closed:
            self._h2.acknowledge(event.stream, event.credit)
            return
        if not event.data and not event.ended:
            self._calm(self._guard.settings(self.clock.now_us()))
        else:
            self._guard.moved()
        stream.ended = event.ended
        try:
            stream.take_data(event.data, event.credit)
        except RpcError as error:
            stream.failure = stream.failure or error
        stream.changed.wake()

    def _on_reset(self, number: int, code: int) -> None:
        if not self.client:
            self._calm(self._guard.reset(self.clock.now_us()))
        stream = self.streams.pop(number, None)
        if stream is not None:
            stream.fail(StreamGone(code, code != http2.REFUSED_STREAM))
            if stream.scope is not None:
                stream.scope.cancel()
            self.idle.wake()

    def _on_goaway(self, last: int, code: int) -> None:
        """Streams above `last` were never looked at (RFC 9113, 6.8) and may go elsewhere at once."""
        self.going = True
        if self.client:
            for stream in [s for s in self.streams.values() if s.number > last]:
                self.streams.pop(stream.number, None)
                stream.fail(StreamGone(http2.REFUSED_STREAM, False))
        self._leave_when_idle()
        if code:
            self.why = self.why or f"the peer ended the connection with HTTP/2 error {code}"
        self._wake_all()

    # Streams.

    def acknowledge(self, stream: Stream, credit: int) -> None:
        if credit and not self.over.is_set():
            self._h2.acknowledge(stream.number, credit)
            self._flush()

    def can_open(self) -> bool:
        return self._h2.may_open()

    async def open(self, block: bytes) -> Stream:
        """A new stream of ours, begun by a block of headers (`http2.block_of`). Waits while the peer allows
        no more; raises LinkLost."""
        while not self.going and not self.can_open():
            await self.idle.wait()
        if self.going:
            raise LinkLost(self.why or "the connection takes no more streams", sent=False)
        number = self._h2.next_stream()
        if number > MAX_STREAM_ID - 1000:
            self.going = True  # the last ids are left unused, so that nothing fails for want of one
        self._guard.moved()
        stream = Stream(self, number, self._queued)
        self.streams[number] = stream
        self._h2.open(block)
        self._flush()
        return stream

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        self.send_block(stream, http2.block_of(headers), end)

    def send_block(self, stream: Stream, block: bytes, end: bool = False) -> None:
        """Headers that were encoded before, by `http2.block_of`."""
        if not stream.closed and not self.over.is_set():
            if not self._h2.is_open(stream.number):
                stream.fail(LinkLost("the stream was closed", sent=True))
                return
            self._h2.headers(stream.number, block, end)
            self._flush()
            if end:
                self._done_sending(stream)

    async def send_message(
        self, stream: Stream, message: bytes, end: bool = False, gzip: bool = False
    ) -> None:
        """Framed, as flow control and the send buffer allow. Raises what ended the stream."""
        data = memoryview(frame(message, gzip))
        while True:
            if stream.failure is not None:
                raise stream.failure
            if self.over.is_set() or stream.closed:
                raise LinkLost(self.why or "the stream is closed", sent=True)
            if len(self._h2.out) >= self.limits.send_buffer:
                await self._room.wait()
                continue
            if not self._h2.is_open(stream.number):
                raise LinkLost("the stream was closed", sent=True)
            size = min(self._h2.room(stream.number), self._h2.peer_max_frame, MAX_FRAME, len(data))
            if size <= 0 < len(data):
                self._starved += 1
                try:
                    await stream.changed.wait()
                finally:
                    self._starved -= 1
                continue
            last = size == len(data)
            # Danger: grpcio measures bandwidth with pings while it receives; those are no offence.
            self._guard.moved()
            self._h2.data(stream.number, bytes(data[:size]), end and last)
            self._flush()
            data = data[size:]
            if last:
                break
        if end:
            self._done_sending(stream)

    def _done_sending(self, stream: Stream) -> None:
        if not self.client:
            if not stream.ended:
                self._reset(stream.number, http2.NO_ERROR)  # RFC 9113, 8.1: the rest is not wanted
            self.drop(stream)

    def drop(self, stream: Stream) -> None:
        """Forget a stream that is done."""
        stream.close()
        if self.streams.pop(stream.number, None) is not None:
            self.idle.wake()
            self._leave_when_idle()

    def _leave_when_idle(self) -> None:
        """A client closes a connection that takes nothing more; its server waits for that."""
        if self.client and self.going and not self.streams:
            self._finishing = True
            self._to_write.wake()

    def reset(self, stream: Stream, code: int = http2.CANCEL) -> None:
        if stream.number in self.streams:
            self.drop(stream)
            self._reset(stream.number, code)

    def _reset(self, number: int, code: int) -> None:
        if not self.over.is_set() and self._h2.is_open(number):
            self._h2.reset(number, code)
            self._flush()

    # Watching.

    async def _watch(self) -> None:
        """The peer's SETTINGS in time; pings while streams are open and nothing comes (gRFC A8)."""
        with trio.move_on_after(span(self.limits.handshake_us)):
            await self.ready.wait()
        if not self.ready.is_set():
            self.abort("the peer sent no SETTINGS")
            return
        if not self.limits.keepalive_us:
            return
        while True:
            await trio.sleep(self.limits.keepalive_us / 4_000_000)
            now = self.clock.now_us()
            if self._pinged_us:
                if now - max(self._pinged_us, self._heard_us) > self.limits.keepalive_timeout_us:
                    self.abort("the peer does not answer pings")
            elif self.streams and now - self._heard_us > self.limits.keepalive_us:
                self._pinged_us = now
                self._h2.ping(PING)
                self._flush()


def span(us: int) -> float:
    return us / 1_000_000 if us else math.inf

"""One connection to an endpoint, carrying one exchange at a time.

An interrupted attempt is reported as never executed only if the endpoint cannot have executed it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from juniperreel.net.transport import READ_BYTES, Transport
from juniperreel.platform.exchange import REJECTED_SQLSTATES, Exchange, outcome_of
from juniperreel.postgres.client import ClientConnection, Phase
from juniperreel.postgres.messages import ProtocolError
from juniperreel.routing.types import Outcome

if TYPE_CHECKING:
    from juniperreel.platform.endpoint_pools import EndpointPool

USER = "worker"
DATABASE = "catalog"
# A connection that ends this soon after the query without any reply was already broken while idle.
BROKEN_WHILE_IDLE_US = 50_000


class EndpointConnection:
    """Protocol of an endpoint's transport. Carries one exchange at a time and never retries it."""

    eof_is_disconnect = False
    read_limit = READ_BYTES

    def __init__(self, pool: EndpointPool, transport: Transport) -> None:
        """Attach to a transport that is connecting."""
        self.pool = pool
        self.transport = transport
        self.protocol = ClientConnection(USER, DATABASE)
        self.exchange: Exchange | None = None
        self.idle_since_us = 0  # since the last reply, whose empty query may still be out; 0 until the first
        self._idle_before_query_us: int | None = None  # None on a new connection
        self._query_sent_us = 0
        transport.protocol = self

    # Called by the transport.

    def connection_made(self) -> None:
        """Send the startup message."""
        self.transport.write(self.protocol.startup_message)

    def data_received(self, data: bytes) -> None:
        """Feed the protocol, and finish the exchange when its reply is complete."""
        try:
            reply = self.protocol.receive_data(data)
        except ProtocolError:
            self._fail_protocol()
            return
        self.pool.on_reply_received(self)
        exchange = self.exchange
        if reply is not None:
            self.exchange = None
            self._record_idle_use(answered=True)
            if exchange is not None:
                exchange.finish(outcome_of(reply), reply)
            self._sync_or_close()
        elif self.protocol.phase is Phase.IDLE:
            self._on_idle(exchange)
        # Otherwise the reply is still incomplete.

    def connection_lost(self, _reason: str) -> None:
        """Finish the exchange with the outcome that follows from what was sent and received."""
        exchange = self.exchange
        self.exchange = None
        was_sent = self._was_sent(exchange)
        reply = self.protocol.partial_reply
        if was_sent and not self.protocol.response_started and self._query_age_us() < BROKEN_WHILE_IDLE_US:
            self._record_idle_use(answered=False)
        self.close()
        if exchange is None:
            return
        if not was_sent:
            exchange.finish(Outcome.UNREACHABLE)
        elif reply.error is not None:
            exchange.finish(outcome_of(reply), reply)  # an error is final without ReadyForQuery
        else:
            exchange.finish(Outcome.RESET, reply)

    # Called by the pool.

    def start(self, exchange: Exchange) -> None:
        """Write the query on an idle connection if its reply is still awaited."""
        self.exchange = exchange
        exchange.connection = self
        if not self.protocol.is_reusable:
            self._fail_protocol()
            return
        owner = exchange.owner
        assert owner is not None  # a finished exchange is never started
        query = owner.build_query()
        self._query_sent_us = self.pool.now()
        if not owner.is_awaited():
            self._release_unused(exchange)
            return
        self._idle_before_query_us = self._query_sent_us - self.idle_since_us if self.idle_since_us else None
        self.transport.write(self.protocol.send_query(query))
        owner.on_written()
        exchange.sent = not self.transport.write_buffer_size

    def abandon(self, exchange: Exchange, cancelled: bool) -> None:
        """Stop waiting for the reply because the attempt was `cancelled` or timed out.

        The connection is closed unless nothing was written on it.
        """
        if exchange.finished:
            return
        was_sent = self._was_sent(exchange)
        self.exchange = None
        reply = self.protocol.partial_reply if was_sent else None
        if was_sent or self.protocol.phase is Phase.BUSY:
            self.close()
            if reply is not None and reply.error is not None:
                exchange.finish(outcome_of(reply), reply)
                return
        # The partial reply is reported, too: it may contain a role change or a commit position.
        if cancelled:
            exchange.finish(Outcome.CANCELLED if was_sent else Outcome.NOT_SENT, reply)
        else:
            exchange.finish(Outcome.TIMEOUT if was_sent else Outcome.UNREACHABLE, reply)

    def withdraw_unsent(self, exchange: Exchange) -> bool:
        """Close the connection if the query was sent only in part, so that the rest is never sent."""
        if self.protocol.phase is not Phase.BUSY or self.exchange is not exchange or self._was_sent(exchange):
            return False
        self.abandon(exchange, cancelled=True)
        return True

    def close(self) -> None:
        """Close the connection and remove it from its pool.

        All that it has received is released now: timers may refer to the connection for some time.
        """
        self.transport.close()
        self.protocol.close()
        self.pool.remove(self)

    def discard_incomplete_message(self) -> None:
        """Close the connection, whose reply does not end, because the memory for replies is used up."""
        self._fail_protocol()

    def close_unless_logged_in(self) -> None:
        """Close the connection if its startup has not completed within the connect timeout."""
        if self.protocol.phase is Phase.STARTUP and not self.transport.closed:
            self.connection_lost("startup timed out")

    def is_usable(self) -> bool:
        """Return whether the idle connection is open and has received no unsolicited data."""
        return self.transport.has_nothing_to_read() and self.protocol.is_reusable

    # Helpers.

    def _on_idle(self, exchange: Exchange | None) -> None:
        """Start the exchange that waits for a new connection, or release a connection without one."""
        if exchange is None:
            self._release()
        elif not exchange.may_send():
            self._release_unused(exchange)
        elif not exchange.sent:
            self.start(exchange)

    def _release_unused(self, exchange: Exchange) -> None:
        self.exchange = None
        self._release()
        exchange.finish(Outcome.NOT_SENT)

    def _sync_or_close(self) -> None:
        """Send an empty query behind the reply, or close the connection if it is not to be used again.

        Bytes that follow a reply would be parsed as the reply to the next query. They may arrive at any time,
        but not after the response to the empty query.
        """
        if self.transport.closed:
            return
        if self.protocol.has_surplus:
            self._close_for_surplus()
        elif self.protocol.is_reusable and self.pool.keeps_connections:
            self.pool.on_sync_started(self)
            self.transport.write(self.protocol.send_sync())
        else:
            self.close()

    def _release(self) -> None:
        """Return the idle connection to the pool, or close it if it has received anything unexpected."""
        if self.protocol.has_surplus:
            self._close_for_surplus()
        else:
            self.pool.release(self)

    def _close_for_surplus(self) -> None:
        self.pool.on_surplus_received()
        self.close()

    def _fail_protocol(self) -> None:
        """Close the connection after a protocol violation by the endpoint."""
        if self.protocol.phase is Phase.SYNCING:
            self._close_for_surplus()
            return
        exchange = self.exchange
        self.exchange = None
        was_sent = self._was_sent(exchange)
        error = self.protocol.partial_reply.error or {}
        was_rejected = not was_sent and error.get("C") in REJECTED_SQLSTATES
        self.close()
        if exchange is None:
            return
        if was_sent:
            # Not RESET, as the endpoint did answer: if all endpoints sent malformed replies, they would be
            # ejected one after the other as unresponsive.
            exchange.finish(Outcome.ERROR)
        else:
            exchange.finish(Outcome.REJECTED if was_rejected else Outcome.UNREACHABLE)

    def _record_idle_use(self, answered: bool) -> None:
        if self._idle_before_query_us is not None:
            self.pool.record_idle_use(self._idle_before_query_us, answered)

    def _query_age_us(self) -> int:
        return self.pool.now() - self._query_sent_us

    def _was_sent(self, exchange: Exchange | None) -> bool:
        """Return whether the query's last byte has been sent.

        Long queries are sent in several writes, the last of them by the poller, so the buffer is rechecked.
        """
        if exchange is None:
            return False
        if self.protocol.phase is Phase.BUSY and not self.transport.write_buffer_size:
            exchange.sent = True
        return exchange.sent

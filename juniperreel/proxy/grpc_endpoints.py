"""Connections to endpoints that speak gRPC: one channel for each, connected when first needed.

Owns the channels. Must never choose an endpoint or retry a call.
"""

from __future__ import annotations

import random

import trio
from google.protobuf.message import DecodeError

from juniperreel.causal import History
from juniperreel.net import Clock, ConnectTimedOutError, Network
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proxy.attempts import AttemptRequest, AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.errors import not_supported
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.positions import ReplicationStatus
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.status import Code, RpcError

EXECUTE = "/juniperreel.member.v1.Member/Execute"
REPORT = "/juniperreel.member.v1.Member/Report"
REPORT_REQUEST = member_pb2.ReportRequest().SerializeToString()
IS_PRIMARY: dict[int, bool | None] = {member_pb2.ROLE_PRIMARY: True, member_pb2.ROLE_REPLICA: False}


class EndpointChannel:
    """One endpoint's channel, and how many attempts are in flight on it.

    A retired channel closes with the last attempt on it.
    """

    def __init__(self, address: EndpointAddress, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.in_flight = 0
        self.is_retired = False

    def retire(self) -> None:
        """Close the channel when no attempt is in flight on it."""
        self.is_retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a retired channel without attempts."""
        if self.is_retired and not self.in_flight:
            self.channel.close()


class GrpcEndpoints:
    """All endpoints of one driver, where they speak gRPC; see `attempts.EndpointConnections`."""

    def __init__(self, options: DriverOptions, network: Network, clock: Clock, rng: random.Random) -> None:
        self._options = options
        self._network = network
        self._clock = clock
        self._rng = rng
        self._channels: dict[str, EndpointChannel] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Own the channels' tasks until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def set_address(self, endpoint: str, host: str, port: int) -> None:
        """Set where the endpoint is now. A new address gets a new channel; the old one ends when idle."""
        address = EndpointAddress(host, port)
        known = self._channels.get(endpoint)
        if known is not None and known.address == address and not known.channel.closed:
            known.is_retired = False
            return
        if known is not None:
            known.retire()
        channel = Channel(
            self._network,
            self._clock,
            host,
            port,
            self._options.limits,
            random.Random(self._rng.random()),
            self._options.connect_timeout_us,
        )
        self._channels[endpoint] = EndpointChannel(address, channel)
        assert self._nursery is not None
        self._nursery.start_soon(channel.run)

    def remove(self, endpoint: str) -> None:
        """Retire the channel of an endpoint that left the endpoint list."""
        known = self._channels.get(endpoint)
        if known is not None:
            known.retire()

    @property
    def connection_count(self) -> int:
        """How many channels are connected."""
        return sum(endpoint.channel.connected for endpoint in self._channels.values())

    def _channel(self, endpoint: str) -> EndpointChannel:
        """Raises ConnectTimedOutError for an endpoint without an address."""
        known = self._channels.get(endpoint)
        if known is None:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        if known.channel.closed:
            # When the list flaps, or its removals do not forbid requests, the router sends to an endpoint
            # whose channel was closed; without a new channel the endpoint would seem dead for ever.
            self.set_address(endpoint, known.address.host, known.address.port)
            known = self._channels[endpoint]
        return known

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, timeout_us: int, sent: trio.Event
    ) -> AttemptResponse:
        """Make one attempt.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError, RpcError or EndpointError.
        """
        if attempt.request.transaction_mode is not None:
            raise not_supported("transactions need members that speak MySQL")
        known = self._channel(endpoint)
        if known.in_flight >= self._options.max_attempts_per_endpoint:
            raise CallUnprocessedError(f"{known.in_flight} attempts are out on the connection to {endpoint}")
        known.in_flight += 1
        try:
            await known.channel.connection()
            attempt.require_may_send()
            sent.set()
            reply = await known.channel.unary(EXECUTE, execute_message(attempt), timeout_us=timeout_us)
        finally:
            known.in_flight -= 1
            known.close_if_done()
        try:
            response = member_pb2.ExecuteResponse.FromString(reply.message)
        except DecodeError as error:
            raise CallInterruptedError(f"{endpoint} sent no ExecuteResponse: {error}") from error
        return AttemptResponse(response.result, replication_status(response.standing), response.commit)

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Ask the endpoint for its report.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError or RpcError.
        """
        channel = self._channel(endpoint).channel
        timeout_us = self._options.health_check_timeout_us
        reply = await channel.unary(REPORT, REPORT_REQUEST, timeout_us=timeout_us)
        try:
            response = member_pb2.ReportResponse.FromString(reply.message)
        except DecodeError as error:
            raise RpcError(Code.INTERNAL, f"{endpoint} sent no ReportResponse: {error}") from error
        status = replication_status(response.standing)
        return EndpointReport(status, in_flight=response.in_hand, queued=response.waiting)


def replication_status(message: member_pb2.Standing) -> ReplicationStatus:
    """The status in a response; its role is None where the endpoint gives none."""
    history = History.from_starts((entry.epoch, entry.start) for entry in message.epochs)
    return ReplicationStatus(IS_PRIMARY.get(message.role), message.position, history)


def execute_message(attempt: AttemptRequest) -> bytes:
    """The attempt as an encoded ExecuteRequest."""
    request = attempt.request
    message = member_pb2.ExecuteRequest(
        request=request.id,
        attempt=attempt.number,
        write=attempt.is_write,
        statement=request.statement,
        parameters=request.parameters,
        idempotency_key=request.idempotency_key,
        floor=attempt.required.floor,
        oldest=attempt.required.oldest,
    )
    setattr(message, "class", attempt.class_name)  # a keyword of Python's
    for commit in attempt.required.commits:
        message.needed.add(epoch=commit.epoch, position=commit.position)
    return message.SerializeToString()

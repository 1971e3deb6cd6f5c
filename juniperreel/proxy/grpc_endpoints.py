"""Connections to gRPC endpoints: one channel per endpoint, connected on first use.

Owns the channels. Must never choose an endpoint or retry a call.
"""

from __future__ import annotations

import random

import trio
from google.protobuf.message import DecodeError

from juniperreel.causal import History
from juniperreel.net import Clock, ConnectTimedOutError, Network
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proxy.attempts import AttemptProgress, AttemptRequest, AttemptResponse, EndpointReport
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
    """The channel of one endpoint, with its number of attempts in flight.

    A retired channel is closed when its last attempt ends.
    """

    def __init__(self, address: EndpointAddress, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.in_flight = 0
        self.is_retired = False

    def retire(self) -> None:
        """Close the channel as soon as no attempt is in flight on it."""
        self.is_retired = True
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the channel if it is retired and no attempt is in flight."""
        if self.is_retired and not self.in_flight:
            self.channel.close()


class GrpcEndpoints:
    """Implements `attempts.EndpointConnections` for gRPC endpoints."""

    def __init__(self, options: DriverOptions, network: Network, clock: Clock, rng: random.Random) -> None:
        self._options = options
        self._network = network
        self._clock = clock
        self._rng = rng
        self._channels: dict[str, EndpointChannel] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the channels' tasks until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def set_address(self, endpoint: str, host: str, port: int) -> None:
        """Set the endpoint's address; a new address gets a new channel, and the old one is retired."""
        address = EndpointAddress(host, port)
        entry = self._channels.get(endpoint)
        if entry is not None and entry.address == address and not entry.channel.closed:
            entry.is_retired = False
            return
        if entry is not None:
            entry.retire()
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
        """Retire the channel of an endpoint that was removed from the endpoint list."""
        entry = self._channels.get(endpoint)
        if entry is not None:
            entry.retire()

    @property
    def connection_count(self) -> int:
        """The number of connected channels."""
        return sum(endpoint.channel.connected for endpoint in self._channels.values())

    def _channel(self, endpoint: str) -> EndpointChannel:
        """Return the endpoint's channel. Raises ConnectTimedOutError if its address is unknown."""
        entry = self._channels.get(endpoint)
        if entry is None:
            raise ConnectTimedOutError(f"no address is known for {endpoint}")
        if entry.channel.closed:
            # If the endpoint list flaps, or removed endpoints may still get requests, the router sends to an
            # endpoint whose channel is closed; without a new channel every attempt on it would fail.
            self.set_address(endpoint, entry.address.host, entry.address.port)
            entry = self._channels[endpoint]
        return entry

    async def execute(
        self, endpoint: str, attempt: AttemptRequest, timeout_us: int, progress: AttemptProgress
    ) -> AttemptResponse:
        """Make one attempt.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError, RpcError or EndpointError.
        """
        if attempt.request.transaction_mode is not None:
            raise not_supported("transactions need members that speak MySQL")
        entry = self._channel(endpoint)
        if entry.in_flight >= self._options.max_attempts_per_endpoint:
            raise CallUnprocessedError(
                f"{entry.in_flight} attempts are already in flight on the connection to {endpoint}"
            )
        entry.in_flight += 1
        try:
            await entry.channel.connection()
            attempt.require_may_send()
            progress.sent.set()
            reply = await entry.channel.unary(EXECUTE, execute_message(attempt), timeout_us=timeout_us)
        finally:
            entry.in_flight -= 1
            entry.close_if_idle()
        try:
            response = member_pb2.ExecuteResponse.FromString(reply.message)
        except DecodeError as error:
            raise CallInterruptedError(f"{endpoint} sent an invalid ExecuteResponse: {error}") from error
        return AttemptResponse(response.result, replication_status(response.standing), response.commit)

    async def check_health(self, endpoint: str) -> EndpointReport:
        """Request the endpoint's report.

        Raises ConnectError, CallUnprocessedError, CallInterruptedError or RpcError.
        """
        channel = self._channel(endpoint).channel
        timeout_us = self._options.health_check_timeout_us
        reply = await channel.unary(REPORT, REPORT_REQUEST, timeout_us=timeout_us)
        try:
            response = member_pb2.ReportResponse.FromString(reply.message)
        except DecodeError as error:
            raise RpcError(Code.INTERNAL, f"{endpoint} sent an invalid ReportResponse: {error}") from error
        status = replication_status(response.standing)
        return EndpointReport(status, in_flight=response.in_hand, queued=response.waiting)


def replication_status(message: member_pb2.Standing) -> ReplicationStatus:
    """Convert the status in a response; `is_primary` is None if the endpoint reports no role."""
    history = History.from_starts((entry.epoch, entry.start) for entry in message.epochs)
    return ReplicationStatus(IS_PRIMARY.get(message.role), message.position, history)


def execute_message(attempt: AttemptRequest) -> bytes:
    """Encode the attempt as an ExecuteRequest."""
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
    setattr(message, "class", attempt.class_name)  # `class` is a Python keyword
    for commit in attempt.required.commits:
        message.needed.add(epoch=commit.epoch, position=commit.position)
    return message.SerializeToString()

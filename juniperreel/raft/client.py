"""Client of the configuration cluster: calls the leader with bounded retries, watches any live instance."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio
from google.protobuf.message import DecodeError

from juniperreel.net import Clock, ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.raft import wire
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, encode_command
from juniperreel.raft.configuration.model import Configuration
from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import LeaderUnreachableError
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import Code, RpcError

METHOD_PREFIX = "/juniperreel.configuration.v1.Configuration/"
ERROR_DOMAIN = "configuration.juniperreel"
CALL_TIMEOUT_US = 2_000_000
CONNECT_TIMEOUT_US = 500_000
RETRY_PAUSE_S = (0.05, 0.25)  # minimum and maximum of the random pause
WATCH_TIMEOUT_S = 4.0  # without any message, including heartbeats
MAX_LEADERLESS_MESSAGES = 2
DEFAULT_ATTEMPTS = 30
CALL_FAILURES = (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError, DecodeError)
RETRIABLE_CODES = (
    Code.UNAVAILABLE,
    Code.ABORTED,
    Code.FAILED_PRECONDITION,
    Code.DEADLINE_EXCEEDED,
    Code.CANCELLED,
)

UNKNOWN_OUTCOME_CODES = (Code.DEADLINE_EXCEEDED, Code.CANCELLED)
OUTCOME_UNKNOWN_REASON = "OUTCOME_UNKNOWN"

Address = tuple[str, int]


class ConfigurationClient:
    """Calls the instances of a cluster; `run` must be running.

    Attributes:
        addresses: Host and port of each instance.
    """

    def __init__(
        self, network: Network, clock: Clock, rng: random.Random, addresses: Sequence[Address]
    ) -> None:
        """`rng` selects the instances to call and the pauses between attempts."""
        self.addresses = list(addresses)
        self._rng = rng
        self._network = network
        self._clock = clock
        self._channels: dict[Address, Channel] = {}
        self._last_leader: Address | None = None  # the last instance that responded as the leader
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    async def _channel(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            assert self._nursery is not None
            host, port = address
            rng = random.Random(self._rng.random())
            channel = Channel(self._network, self._clock, host, port, Limits(), rng, CONNECT_TIMEOUT_US)
            self._channels[address] = channel
            await self._nursery.start(channel.run)
        return channel

    async def call(self, address: Address, method: str, request: bytes) -> bytes:
        """Call one instance, without retries.

        Raises trio.TooSlowError if it does not respond in time, otherwise one of `CALL_FAILURES`.
        """
        channel = await self._channel(address)
        with trio.fail_after(CALL_TIMEOUT_US / US):
            reply = await channel.unary(METHOD_PREFIX + method, request, timeout_us=CALL_TIMEOUT_US)
            return reply.message

    async def call_leader(
        self, method: str, request: bytes, attempts: int = DEFAULT_ATTEMPTS, *, changes_state: bool = True
    ) -> bytes:
        """Find and call the leader.

        The request must be idempotent, since the response to an earlier attempt may have been lost; if it
        `changes_state`, the error says whether that may have happened. Raises
        LeaderUnreachableError, or RpcError if a retry cannot succeed.
        """
        address = self._last_leader or self._rng.choice(self.addresses)
        failure = ""
        outcome_unknown = False
        for _ in range(attempts):
            leader: Address | None = None
            try:
                response = await self.call(address, method, request)
            except trio.TooSlowError:
                failure = f"{address[0]}:{address[1]} did not respond in time"
                outcome_unknown = True
            except RpcError as error:
                if not _is_retriable(error):
                    raise
                failure = error.message
                outcome_unknown = outcome_unknown or _may_have_taken_effect(error)
                leader = _leader_address(error)
            except CALL_FAILURES as error:
                failure = str(error)
                outcome_unknown = outcome_unknown or isinstance(error, CallInterruptedError | DecodeError)
            else:
                self._last_leader = address
                return response
            if leader is not None and leader != address:
                address = leader  # without a pause
                continue
            address = self._rng.choice(self.addresses)
            await self._pause()
        raise LeaderUnreachableError(attempts, failure, outcome_unknown and changes_state)

    async def _pause(self) -> None:
        await trio.sleep(self._rng.uniform(*RETRY_PAUSE_S))

    async def propose(self, command: Command, attempts: int = DEFAULT_ATTEMPTS) -> Outcome:
        """Apply a command; retries do not apply it again. Raises the errors of `call_leader`."""
        request = pb.ProposeRequest(command=encode_command(command)).SerializeToString()
        response = pb.ProposeResponse.FromString(await self.call_leader("Propose", request, attempts))
        return Outcome(response.version, response.refusal)

    async def get(self) -> Configuration:
        """The latest version, by a linearizable read. Raises the errors of `call_leader`."""
        request = pb.GetRequest(linearizable=True).SerializeToString()
        response = pb.GetResponse.FromString(await self.call_leader("Get", request, changes_state=False))
        return model.decode(response.configuration)

    async def status(self, address: Address) -> pb.StatusResponse:
        """The status of one instance. Raises the errors of `call`."""
        return pb.StatusResponse.FromString(await self.call(address, "Status", b""))

    async def watch(
        self,
        watcher: str,
        known: Configuration,
        on_version: Callable[[Configuration], None],
        on_failure: Callable[[str], None] | None = None,
        on_alive: Callable[[], None] | None = None,
    ) -> None:
        """Watch for versions newer than `known` until cancelled.

        One stream is open at a time. When it fails or times out, or its instance has no leader, a stream to a
        randomly chosen instance is opened. Versions never decrease.

        Args:
            watcher: Name of the watcher, as sent to the instances.
            known: The latest version that the watcher has.
            on_version: Called with every newer version.
            on_failure: Called with a description of each failed stream, if given.
            on_alive: Called for every message from an instance that knows a leader, if given.
        """
        watch = _Watch(watcher, known, on_version, on_alive)
        while True:
            address = self._rng.choice(self.addresses)
            try:
                await self._watch_one(address, watch)
            except (*CALL_FAILURES, trio.TooSlowError, ValueError) as error:
                if on_failure is not None:
                    on_failure(f"{address[0]}:{address[1]}: {error}")
            await self._pause()

    async def _watch_one(self, address: Address, watch: _Watch) -> None:
        """Read one stream until it fails or times out, or its instance seems to be partitioned."""
        channel = await self._channel(address)
        leaderless_messages = 0
        with trio.CancelScope() as scope:
            scope.deadline = trio.current_time() + WATCH_TIMEOUT_S
            async with channel.streaming(METHOD_PREFIX + "Watch", watch.request()) as messages:
                async for data in messages:
                    scope.deadline = trio.current_time() + WATCH_TIMEOUT_S
                    response = pb.WatchResponse.FromString(data)
                    leaderless_messages = 0 if response.leader else leaderless_messages + 1
                    watch.on_response(response)
                    if leaderless_messages > MAX_LEADERLESS_MESSAGES and len(self.addresses) > 1:
                        return  # its instance is likely partitioned from the quorum


class _Watch:
    """State of a watch across streams, so that a lagging instance cannot revert it to an older version."""

    def __init__(
        self,
        watcher: str,
        known: Configuration,
        on_version: Callable[[Configuration], None],
        on_alive: Callable[[], None] | None,
    ) -> None:
        self._watcher = watcher
        self._newest = known
        self._on_version = on_version
        self._on_alive = on_alive

    def request(self) -> bytes:
        """The request for a stream of versions newer than the latest known one."""
        request = pb.WatchRequest(watcher=self._watcher, since=self._newest.version)
        serialized: bytes = request.SerializeToString()
        return serialized

    def on_response(self, response: pb.WatchResponse) -> None:
        """Process one message of a stream. Raises MalformedDataError."""
        if response.leader and self._on_alive is not None:
            self._on_alive()
        if response.beat:
            return
        if response.full:
            configuration = model.decode(response.update)
        else:
            configuration = model.apply_delta(self._newest, response.update)
        if configuration.version > self._newest.version:
            self._newest = configuration
            self._on_version(configuration)


def _is_retriable(error: RpcError) -> bool:
    """Whether a retry, on the same or another instance, may succeed."""
    if error.code is Code.FAILED_PRECONDITION:
        return bool(error.reason(ERROR_DOMAIN))
    return error.code in RETRIABLE_CODES


def _may_have_taken_effect(error: RpcError) -> bool:
    return error.code in UNKNOWN_OUTCOME_CODES or error.reason(ERROR_DOMAIN) == OUTCOME_UNKNOWN_REASON


def _leader_address(error: RpcError) -> Address | None:
    """The leader's address, if the error details contain it."""
    for detail in error.details:
        leader = getattr(detail, "metadata", {}).get("leader", "")
        if leader:
            return wire.parse_address(leader)
    return None

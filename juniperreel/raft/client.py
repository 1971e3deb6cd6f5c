"""A client of the instances: finds the leader with bounded tries, watches whoever lives."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio
from google.protobuf.message import DecodeError

from juniperreel.net import Clock, ConnectError, Network
from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.raft import wire
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, encode_command
from juniperreel.raft.configuration.model import Configuration
from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.rpc.channel import Broken, Channel, NeverSent
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import Code, RpcError

PATH = "/juniperreel.configuration.v1.Configuration/"
DOMAIN = "configuration.juniperreel"
TRY_S = 2.0
PAUSE_S = (0.05, 0.25)
SILENCE_S = 4.0  # without even a beat
FAILURES = (ConnectError, NeverSent, Broken, RpcError, DecodeError)
AGAIN = (Code.UNAVAILABLE, Code.ABORTED, Code.FAILED_PRECONDITION, Code.DEADLINE_EXCEEDED, Code.CANCELLED)


class LeaderUnreachableError(Exception):
    """No instance answered as the leader within the tries."""


class ConfigurationClient:
    """Calls on any of the instances. `run` must be running."""

    def __init__(
        self, network: Network, clock: Clock, rng: random.Random, addresses: Sequence[tuple[str, int]]
    ) -> None:
        self._rng = rng
        self._network, self._clock = network, clock
        self._channels: dict[tuple[str, int], Channel] = {}
        self.addresses = list(addresses)
        self._led: tuple[str, int] | None = None  # who answered as the leader last
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    async def _channel(self, address: tuple[str, int]) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            assert self._nursery is not None
            rng = random.Random(self._rng.random())
            channel = Channel(self._network, self._clock, *address, Limits(), rng, 500_000)
            self._channels[address] = channel
            await self._nursery.start(channel.run)
        return channel

    async def call(self, address: tuple[str, int], method: str, request: bytes) -> bytes:
        channel = await self._channel(address)
        with trio.fail_after(TRY_S):
            return (await channel.unary(PATH + method, request, timeout_us=int(TRY_S * 1e6))).message

    async def lead(self, method: str, request: bytes, tries: int = 30) -> bytes:
        """Asks the leader, wherever it is. The request must bear being asked twice: the answer to the first
        may have been lost. Raises LeaderUnreachableError, or RpcError where others would say the same."""
        at, why = self._led or self._rng.choice(self.addresses), ""
        for _ in range(tries):
            try:
                answer = await self.call(at, method, request)
                self._led = at
                return answer
            except trio.TooSlowError:
                why = f"{at[0]}:{at[1]} does not answer"
                at = self._rng.choice(self.addresses)
            except RpcError as error:
                if error.code not in AGAIN or (
                    error.code is Code.FAILED_PRECONDITION and not error.reason(DOMAIN)
                ):
                    raise
                why = error.message
                named = self._leader(error)
                if named is not None and named != at:
                    at = named
                    continue  # the one it names is asked at once
                at = self._rng.choice(self.addresses)
            except FAILURES as error:
                why = str(error)
                at = self._rng.choice(self.addresses)
            await trio.sleep(self._rng.uniform(*PAUSE_S))
        raise LeaderUnreachableError(f"no leader in {tries} tries; last: {why}")

    @staticmethod
    def _leader(error: RpcError) -> tuple[str, int] | None:
        for detail in error.details:
            leader = getattr(detail, "metadata", {}).get("leader", "")
            if leader:
                return wire.address(leader)
        return None

    async def propose(self, command: Command, tries: int = 30) -> Outcome:
        """Applied once, however many tries it takes."""
        request = pb.ProposeRequest(command=encode_command(command)).SerializeToString()
        answer = pb.ProposeResponse.FromString(await self.lead("Propose", request, tries))
        return Outcome(answer.version, answer.refusal)

    async def get(self) -> Configuration:
        """The newest version, linearizable."""
        request = pb.GetRequest(linearizable=True).SerializeToString()
        return model.decode(pb.GetResponse.FromString(await self.lead("Get", request)).configuration)

    async def status(self, address: tuple[str, int]) -> pb.StatusResponse:
        return pb.StatusResponse.FromString(await self.call(address, "Status", b""))

    async def watch(
        self,
        watcher: str,
        have: Configuration,
        told: Callable[[Configuration], None],
        failed: Callable[[str], None] = lambda why: None,
        alive: Callable[[], None] = lambda: None,
    ) -> None:
        """Calls `told` with every version newer than `have`, for ever: one live stream at a time, to another
        instance when one fails, falls silent or hears no leader. Never goes back a version. `alive` is called
        whenever an instance that hears a leader says anything."""
        newest = [have]  # kept over failures: an instance that lags must not take a watcher back
        while True:
            at = self._rng.choice(self.addresses)
            try:
                await self._watch_one(at, watcher, newest, told, alive)
            except (*FAILURES, trio.TooSlowError, ValueError) as error:
                failed(f"{at[0]}:{at[1]}: {error}")
            await trio.sleep(self._rng.uniform(*PAUSE_S))

    async def _watch_one(
        self,
        at: tuple[str, int],
        watcher: str,
        newest: list[Configuration],
        told: Callable[[Configuration], None],
        alive: Callable[[], None],
    ) -> None:
        channel = await self._channel(at)
        request = pb.WatchRequest(watcher=watcher, since=newest[0].version).SerializeToString()
        leaderless = 0
        with trio.CancelScope() as silence:
            silence.deadline = trio.current_time() + SILENCE_S
            async with channel.streaming(PATH + "Watch", request) as messages:
                async for data in messages:
                    silence.deadline = trio.current_time() + SILENCE_S
                    message = pb.WatchResponse.FromString(data)
                    leaderless = 0 if message.leader else leaderless + 1
                    if message.leader:
                        alive()
                    if not message.beat:
                        update = message.update
                        new = model.decode(update) if message.full else model.apply_delta(newest[0], update)
                        if new.version > newest[0].version:
                            newest[0] = new
                            told(new)
                    if leaderless > 2 and len(self.addresses) > 1:
                        return  # cut off from a quorum: another instance may know more

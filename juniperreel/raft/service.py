"""What an instance serves: Raft to its peers, Configuration to everybody else."""

from __future__ import annotations

import hmac

import trio
from google.protobuf.message import DecodeError

from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.proto.raft.v1 import raft_pb2
from juniperreel.raft import wire
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import decode_command
from juniperreel.raft.configuration.state_machine import ConfigurationUpdate
from juniperreel.raft.errors import EntrySupersededError, NotLeaderError, RequestRejectedError
from juniperreel.raft.node import RaftNode
from juniperreel.raft.types import MembershipChange
from juniperreel.rpc.server import Call, Method
from juniperreel.rpc.status import Code, RpcError, error_info, field_violation

DOMAIN = "configuration.juniperreel"
SERVICE = "juniperreel.configuration.v1.Configuration"
MAX_WATCHES = 2000
BEAT_S = 1.0
CHANGES = {
    "add": MembershipChange.ADD_LEARNER,
    "promote": MembershipChange.PROMOTE,
    "remove": MembershipChange.REMOVE,
}


class ConfigurationService:
    """Answers from one node. Holds no state but the count of watches."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._watches = 0
        self._updates: dict[
            tuple[int, int], ConfigurationUpdate
        ] = {}  # the same for all watchers of a version

    def methods(self) -> dict[str, Method]:
        return {
            "/juniperreel.raft.v1.Raft/Step": Method(unary=self._step),
            f"/{SERVICE}/Propose": Method(unary=self._propose),
            f"/{SERVICE}/Get": Method(unary=self._get),
            f"/{SERVICE}/Watch": Method(streaming=self._watch),
            f"/{SERVICE}/Status": Method(unary=self._status),
            f"/{SERVICE}/ChangeInstances": Method(unary=self._change),
        }

    async def _step(self, call: Call, data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        node = self._node
        try:
            ask = raft_pb2.StepRequest.FromString(data)
        except DecodeError:
            raise RpcError(Code.INVALID_ARGUMENT, "not a StepRequest") from None
        expected = wire.sign(node.key, node.cluster, ask.src, node.name, ask.messages)
        if (
            ask.cluster != node.cluster
            or ask.dst != node.name
            or not hmac.compare_digest(expected, ask.signature)
        ):
            # Danger: an instance of another cluster, or a stranger, that takes part in elections.
            raise RpcError(Code.PERMISSION_DENIED, "not a member of this cluster, or not for this instance")
        try:
            messages = wire.decode(ask.messages)
        except ValueError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
        for message in messages:
            if message.src == ask.src:
                node.deliver(message)
        return b""

    def _not_leader(self, leader: str | None) -> RpcError:
        details = [error_info("NOT_LEADER", DOMAIN, leader=leader or "")]
        return RpcError(Code.FAILED_PRECONDITION, f"the leader is {leader or 'not known'}", details)

    async def _propose(self, call: Call, data: bytes) -> bytes:
        node = self._node
        try:
            ask = pb.ProposeRequest.FromString(data)
            command = decode_command(ask.command)
        except DecodeError:
            raise RpcError(Code.INVALID_ARGUMENT, "not a ProposeRequest") from None
        except ValueError as error:
            raise RpcError(
                Code.INVALID_ARGUMENT, str(error), [field_violation("command", str(error))]
            ) from None
        if not node.core.is_leader:
            raise self._not_leader(node.core.leader)
        known = node.state_machine.previous_outcome(command)
        if known is None and (refusal := node.state_machine.rejection_of(command)):
            # Checked when proposed: what is refused now need not go through the log. A leader that was
            # replaced may judge by an old version, so it first makes sure that it still leads.
            await self._sure()
            if node.state_machine.previous_outcome(command) is None and (
                refusal := node.state_machine.rejection_of(command)
            ):
                return pb.ProposeResponse(
                    version=node.state_machine.current.version, refusal=refusal
                ).SerializeToString()
        try:
            outcome = await node.propose(ask.command)
        except NotLeaderError as error:
            raise self._not_leader(error.leader) from None
        except RequestRejectedError as error:
            raise RpcError(Code.UNAVAILABLE, str(error)) from None
        except EntrySupersededError as error:
            raise RpcError(Code.ABORTED, f"not applied: {error}") from None
        return pb.ProposeResponse(version=outcome.version, refusal=outcome.rejection).SerializeToString()

    async def _sure(self) -> None:
        try:
            await self._node.read()
        except NotLeaderError as error:
            raise self._not_leader(error.leader) from None
        except RequestRejectedError as error:
            raise RpcError(Code.UNAVAILABLE, str(error)) from None

    async def _get(self, call: Call, data: bytes) -> bytes:
        try:
            ask = pb.GetRequest.FromString(data)
        except DecodeError:
            raise RpcError(Code.INVALID_ARGUMENT, "not a GetRequest") from None
        if ask.linearizable:
            await self._sure()
        while self._node.state_machine.current.version < ask.at_least:
            self._alive()
            await self._node.applied.wait()
        await trio.lowlevel.checkpoint()
        now = self._node.state_machine.current
        return pb.GetResponse(
            version=now.version, configuration=model.encode(now, clients=False)
        ).SerializeToString()

    def _alive(self) -> None:
        if self._node.stopped:
            raise RpcError(Code.UNAVAILABLE, "the instance stops")

    async def _watch(self, call: Call) -> None:
        try:
            ask = pb.WatchRequest.FromString(await call.receive() or b"")
        except DecodeError:
            raise RpcError(Code.INVALID_ARGUMENT, "not a WatchRequest") from None
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many watches")
        self._watches += 1
        try:
            since = ask.since
            while True:
                self._alive()
                version = self._node.state_machine.current.version
                leader = self._node.core.leader or ""
                if version > since:
                    update = self._update(since, version)
                    since = version
                    message = pb.WatchResponse(
                        version=version, full=update.complete, update=update.data, leader=leader
                    )
                else:
                    message = pb.WatchResponse(version=since, beat=True, leader=leader)
                await call.send(message.SerializeToString())
                with trio.move_on_after(BEAT_S):
                    while self._node.state_machine.current.version <= since and not self._node.stopped:
                        await self._node.applied.wait()
        finally:
            self._watches -= 1

    def _update(self, since: int, version: int) -> ConfigurationUpdate:
        found = self._updates.get((since, version))
        if found is None:
            if len(self._updates) > 100:
                self._updates.clear()
            found = self._updates[since, version] = self._node.state_machine.update_since(since)
        return found

    async def _status(self, call: Call, data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        core = self._node.core
        status = pb.StatusResponse(
            name=core.name,
            role=core.role.value,
            term=core.term,
            leader=core.leader or "",
            commit=core.commit_index,
            applied=core.applied_index,
            first=core.log.first_index,
            last=core.log.last_index,
            version=self._node.state_machine.current.version,
            voters=sorted(core.membership.voters),
            learners=sorted(core.membership.learners),
            matches=core.status().match_indexes,
        )
        return status.SerializeToString()

    async def _change(self, call: Call, data: bytes) -> bytes:
        try:
            ask = pb.ChangeInstancesRequest.FromString(data)
            wire.parse_address(ask.name)
        except DecodeError:
            raise RpcError(Code.INVALID_ARGUMENT, "not a ChangeInstancesRequest") from None
        except ValueError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error), [field_violation("name", str(error))]) from None
        try:
            if ask.change == "transfer":
                await self._node.transfer_leadership(ask.name)
            elif ask.change in CHANGES:
                await self._node.change_membership(CHANGES[ask.change], ask.name)
            else:
                raise RpcError(
                    Code.INVALID_ARGUMENT, f"{ask.change[:40]!r} is none of add, promote, remove, transfer"
                )
        except NotLeaderError as error:
            raise self._not_leader(error.leader) from None
        except RequestRejectedError as error:
            raise RpcError(Code.FAILED_PRECONDITION, str(error)) from None
        except EntrySupersededError as error:
            raise RpcError(Code.ABORTED, str(error)) from None
        return pb.ChangeInstancesResponse().SerializeToString()

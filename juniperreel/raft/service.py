"""gRPC services of an instance: Raft for its peers, Configuration for clients."""

from __future__ import annotations

import hmac
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from google.protobuf.message import DecodeError

from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.proto.raft.v1 import raft_pb2
from juniperreel.raft import wire
from juniperreel.raft.client import ERROR_DOMAIN, OUTCOME_UNKNOWN_REASON
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, decode_command
from juniperreel.raft.configuration.state_machine import ConfigurationUpdate
from juniperreel.raft.errors import (
    EntrySupersededError,
    NotLeaderError,
    OutcomeUnknownError,
    RequestRejectedError,
)
from juniperreel.raft.node import RaftNode
from juniperreel.raft.peers import STEP_PATH
from juniperreel.raft.types import MembershipChange
from juniperreel.rpc.call import Call
from juniperreel.rpc.server import Method
from juniperreel.rpc.status import Code, RpcError, error_info, field_violation

NOT_LEADER_REASON = "NOT_LEADER"
SERVICE = "juniperreel.configuration.v1.Configuration"
MAX_WATCHES = 2000
MAX_CACHED_UPDATES = 100
MAX_QUOTED_CHARS = 40  # of an invalid argument in an error message
HEARTBEAT_INTERVAL_S = 1.0  # on a watch stream
TRANSFER = "transfer"
MEMBERSHIP_CHANGES = {
    "add": MembershipChange.ADD_LEARNER,
    "promote": MembershipChange.PROMOTE,
    "remove": MembershipChange.REMOVE,
}


class ConfigurationService:
    """Serves requests from one node. Its only state is the number of watches and a cache of updates."""

    def __init__(self, node: RaftNode) -> None:
        """`node` must be running."""
        self._node = node
        self._watches = 0
        # Keyed by (old version, new version); shared by all watchers at the same version.
        self._updates: dict[tuple[int, int], ConfigurationUpdate] = {}

    def methods(self) -> dict[str, Method]:
        """The method handlers by path."""
        return {
            STEP_PATH: Method(unary=self._step),
            f"/{SERVICE}/Propose": Method(unary=self._propose),
            f"/{SERVICE}/Get": Method(unary=self._get),
            f"/{SERVICE}/Watch": Method(streaming=self._watch),
            f"/{SERVICE}/Status": Method(unary=self._status),
            f"/{SERVICE}/ChangeInstances": Method(unary=self._change_instances),
        }

    # Raft.

    async def _step(self, _call: Call, data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        try:
            request = raft_pb2.StepRequest.FromString(data)
        except DecodeError as error:
            raise RpcError(Code.INVALID_ARGUMENT, "not a StepRequest") from error
        self._authenticate(request)
        try:
            messages = wire.decode(request.messages)
        except ValueError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from error
        for message in messages:
            if message.src == request.src:
                self._node.deliver(message)
        return b""

    def _authenticate(self, request: raft_pb2.StepRequest) -> None:
        """Verify that the call was signed by a peer of this cluster and is addressed to this node.

        Otherwise an instance of another cluster, or anyone who can reach the port, could take part in
        elections.
        """
        node = self._node
        expected = wire.sign(node.key, node.cluster, request.src, node.name, request.messages)
        if (
            request.cluster != node.cluster
            or request.dst != node.name
            or not hmac.compare_digest(expected, request.signature)
        ):
            raise RpcError(Code.PERMISSION_DENIED, "not a member of this cluster, or not for this instance")

    # Configuration.

    async def _propose(self, _call: Call, data: bytes) -> bytes:
        node = self._node
        request, command = _parse_proposal(data)
        if not node.core.is_leader:
            raise _not_leader(node.core.leader)
        if self._rejection_of(command):
            # A command that would be rejected now need not go through the log. A deposed leader may have
            # validated it against an old version, so leadership is confirmed before rejecting it.
            await self._confirm_leadership()
            rejection = self._rejection_of(command)
            if rejection:
                version = node.state_machine.current.version
                return pb.ProposeResponse(version=version, refusal=rejection).SerializeToString()
        with _errors_as_status(rejected=Code.UNAVAILABLE):
            outcome = await node.propose(request.command)
        return pb.ProposeResponse(version=outcome.version, refusal=outcome.rejection).SerializeToString()

    def _rejection_of(self, command: Command) -> str:
        """The reason why a command would be rejected now; empty if it is valid or was already applied."""
        state_machine = self._node.state_machine
        if state_machine.previous_outcome(command) is not None:
            return ""
        return state_machine.rejection_of(command)

    async def _confirm_leadership(self) -> None:
        with _errors_as_status(rejected=Code.UNAVAILABLE):
            await self._node.read()

    async def _get(self, _call: Call, data: bytes) -> bytes:
        try:
            request = pb.GetRequest.FromString(data)
        except DecodeError as error:
            raise RpcError(Code.INVALID_ARGUMENT, "not a GetRequest") from error
        if request.linearizable:
            await self._confirm_leadership()
        while self._node.state_machine.current.version < request.at_least:
            self._require_running()
            await self._node.applied.wait()
        await trio.lowlevel.checkpoint()
        current = self._node.state_machine.current
        response = pb.GetResponse(version=current.version, configuration=model.encode(current, clients=False))
        return response.SerializeToString()

    def _require_running(self) -> None:
        if self._node.stopped:
            raise RpcError(Code.UNAVAILABLE, "the instance stops")

    async def _watch(self, call: Call) -> None:
        try:
            request = pb.WatchRequest.FromString(await call.receive() or b"")
        except DecodeError as error:
            raise RpcError(Code.INVALID_ARGUMENT, "not a WatchRequest") from error
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many watches")
        self._watches += 1
        try:
            await self._send_updates(call, request.since)
        finally:
            self._watches -= 1

    async def _send_updates(self, call: Call, since: int) -> None:
        """Send each version newer than `since`, and a heartbeat after `HEARTBEAT_INTERVAL_S` without one."""
        node = self._node
        while True:
            self._require_running()
            version = node.state_machine.current.version
            leader = node.core.leader or ""
            if version > since:
                update = self._update(since, version)
                since = version
                response = pb.WatchResponse(
                    version=version, full=update.complete, update=update.data, leader=leader
                )
            else:
                response = pb.WatchResponse(version=since, beat=True, leader=leader)
            await call.send(response.SerializeToString())
            with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                while node.state_machine.current.version <= since and not node.stopped:
                    await node.applied.wait()

    def _update(self, since: int, version: int) -> ConfigurationUpdate:
        update = self._updates.get((since, version))
        if update is None:
            if len(self._updates) > MAX_CACHED_UPDATES:
                self._updates.clear()
            update = self._node.state_machine.update_since(since)
            self._updates[since, version] = update
        return update

    async def _status(self, _call: Call, _data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        status = self._node.core.status()
        response = pb.StatusResponse(
            name=status.name,
            role=status.role.value,
            term=status.term,
            leader=status.leader or "",
            commit=status.commit_index,
            applied=status.applied_index,
            first=status.first_index,
            last=status.last_index,
            version=self._node.state_machine.current.version,
            voters=sorted(status.membership.voters),
            learners=sorted(status.membership.learners),
            matches=status.match_indexes,
        )
        return response.SerializeToString()

    async def _change_instances(self, _call: Call, data: bytes) -> bytes:
        try:
            request = pb.ChangeInstancesRequest.FromString(data)
            wire.parse_address(request.name)
        except DecodeError as error:
            raise RpcError(Code.INVALID_ARGUMENT, "not a ChangeInstancesRequest") from error
        except ValueError as error:
            violation = field_violation("name", str(error))
            raise RpcError(Code.INVALID_ARGUMENT, str(error), [violation]) from error
        change = MEMBERSHIP_CHANGES.get(request.change)
        if change is None and request.change != TRANSFER:
            reason = f"{request.change[:MAX_QUOTED_CHARS]!r} is none of add, promote, remove, transfer"
            raise RpcError(Code.INVALID_ARGUMENT, reason)
        with _errors_as_status(rejected=Code.FAILED_PRECONDITION):
            if change is None:
                await self._node.transfer_leadership(request.name)
            else:
                await self._node.change_membership(change, request.name)
        return pb.ChangeInstancesResponse().SerializeToString()


def _parse_proposal(data: bytes) -> tuple[pb.ProposeRequest, Command]:
    try:
        request = pb.ProposeRequest.FromString(data)
        return request, decode_command(request.command)
    except DecodeError as error:
        raise RpcError(Code.INVALID_ARGUMENT, "not a ProposeRequest") from error
    except ValueError as error:
        violation = field_violation("command", str(error))
        raise RpcError(Code.INVALID_ARGUMENT, str(error), [violation]) from error


def _not_leader(leader: str | None) -> RpcError:
    details = [error_info(NOT_LEADER_REASON, ERROR_DOMAIN, leader=leader or "")]
    return RpcError(Code.FAILED_PRECONDITION, f"the leader is {leader or 'not known'}", details)


@contextmanager
def _errors_as_status(rejected: Code) -> Iterator[None]:
    """Convert the errors of a node's operations to gRPC statuses; `rejected` is that of a rejected request.

    Only an entry that is never applied is reported as such: a client that believes it may propose the change
    anew, under another sequence number.
    """
    try:
        yield
    except NotLeaderError as error:
        raise _not_leader(error.leader) from error
    except RequestRejectedError as error:
        raise RpcError(rejected, str(error)) from error
    except EntrySupersededError as error:
        raise RpcError(Code.ABORTED, f"not applied: {error}") from error
    except OutcomeUnknownError as error:
        details = [error_info(OUTCOME_UNKNOWN_REASON, ERROR_DOMAIN)]
        raise RpcError(Code.UNAVAILABLE, f"outcome unknown: {error}", details) from error

"""Connections to members: one for each, made when first needed.

Owns channels and their lives. Must never choose a member or repeat a call.
"""

from __future__ import annotations

import random

import trio
from google.protobuf.message import DecodeError

from juniperreel.causal import History
from juniperreel.net import Clock, Network, Silent
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proxy.jobs import Fault, Job, Reply
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.positions import Standing
from juniperreel.routing.types import (
    Outcome,
)
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.status import Code, RpcError

EXECUTE = "/juniperreel.member.v1.Member/Execute"
REPORT = "/juniperreel.member.v1.Member/Report"
REPORT_REQUEST = member_pb2.ReportRequest().SerializeToString()


class MemberLink:
    """One member's connection and the attempts on it."""

    def __init__(self, address: tuple[str, int], channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.in_hand = 0
        self.retired = False


class MemberLinks:
    """All members' connections of one driver; `run` must be running."""

    def __init__(self, options: DriverOptions, network: Network, clock: Clock, rng: random.Random) -> None:
        self._options, self._network, self._clock, self._rng = options, network, clock, rng
        self._links: dict[str, MemberLink] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def place(self, member: str, host: str, port: int) -> None:
        """Where the member is now. A new address gets a new connection; the old one ends when idle."""
        link = self._links.get(member)
        if link is not None and link.address == (host, port) and not link.channel.closed:
            link.retired = False
            return
        if link is not None:
            self._retire(link)
        options = self._options
        channel = Channel(
            self._network,
            self._clock,
            host,
            port,
            options.limits,
            random.Random(self._rng.random()),
            options.connect_timeout_us,
        )
        self._links[member] = MemberLink((host, port), channel)
        assert self._nursery is not None
        self._nursery.start_soon(channel.run)

    def retire(self, member: str) -> None:
        """The member is gone: its connection ends with the last attempt on it."""
        link = self._links.get(member)
        if link is not None:
            self._retire(link)

    @staticmethod
    def _retire(link: MemberLink) -> None:
        link.retired = True
        if not link.in_hand:
            link.channel.close()

    @property
    def connected(self) -> int:
        return sum(link.channel.connected for link in self._links.values())

    def _link(self, member: str) -> MemberLink:
        link = self._links.get(member)
        if link is None:
            raise Silent(f"no address is known for {member}")
        if link.channel.closed:
            # Danger: a list that flaps, or whose "gone" does not bind, sends to a member whose connection
            # was ended; it would seem dead for ever.
            self.place(member, *link.address)
            link = self._links[member]
        return link

    async def execute(self, member: str, job: Job, timeout_us: int, sent: trio.Event) -> Reply:
        if job.work.hold is not None:
            raise Fault(Outcome.OK, "transactions need members that speak MySQL", 1235, "42000")
        link = self._link(member)
        if link.in_hand >= self._options.member_attempts:
            raise CallUnprocessedError(f"{link.in_hand} attempts are out on the connection to {member}")
        link.in_hand += 1
        try:
            await link.channel.connection()
            sent.set()
            reply = await link.channel.unary(EXECUTE, execute_message(job), timeout_us=timeout_us)
        finally:
            link.in_hand -= 1
            if link.retired and not link.in_hand:
                link.channel.close()
        try:
            response = member_pb2.ExecuteResponse.FromString(reply.message)
        except DecodeError as error:
            raise CallInterruptedError(f"{member} sent no ExecuteResponse: {error}") from error
        return Reply(response.result, standing_of(response.standing), response.commit)

    async def report(self, member: str) -> tuple[Standing, float, float]:
        """The member's report: standing, requests in hand, requests waiting."""
        link = self._link(member)
        reply = await link.channel.unary(REPORT, REPORT_REQUEST, timeout_us=self._options.probe_timeout_us)
        try:
            response = member_pb2.ReportResponse.FromString(reply.message)
        except DecodeError as error:
            raise RpcError(Code.INTERNAL, f"{member} sent no ReportResponse: {error}") from error
        return standing_of(response.standing), response.in_hand, response.waiting


ROLES: dict[int, bool | None] = {member_pb2.ROLE_PRIMARY: True, member_pb2.ROLE_REPLICA: False}


def standing_of(message: member_pb2.Standing) -> Standing:
    history = History.of((e.epoch, e.start) for e in message.epochs)
    return Standing(ROLES.get(message.role), message.position, history)


def execute_message(job: Job) -> bytes:
    message = member_pb2.ExecuteRequest(
        request=job.work.id,
        attempt=job.attempt,
        write=job.write,
        statement=job.work.statement,
        parameters=job.work.parameters,
        idempotency_key=job.work.key,
        floor=job.needs.floor,
        oldest=job.needs.oldest,
    )
    setattr(message, "class", job.cls)  # a keyword of Python's
    for epoch, position in job.needs.pairs:
        message.needed.add(epoch=epoch, position=position)
    return message.SerializeToString()

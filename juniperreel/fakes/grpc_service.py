"""The gRPC service of a fake endpoint: requests from edges, and load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import trio
from google.protobuf.message import DecodeError

from juniperreel.fakes.errors import QueueFullError, StatementError
from juniperreel.fakes.replica import ExecutedWrite
from juniperreel.fakes.replication_stream import REPLICATE_METHOD, LogSender
from juniperreel.fakes.request_names import edge_of, request_id_of
from juniperreel.fakes.store import Statement, value_from_proto
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.server import Method
from juniperreel.rpc.status import Code, RpcError, error_info
from juniperreel.verification.records import AttemptFinished, AttemptReceived

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

ERROR_DOMAIN = "member.juniperreel"
REPORT_INTERVAL_US = 100_000


class CachedReport(NamedTuple):
    """A load report and the time of its creation."""

    at_us: int
    report: member_pb2.ReportResponse


@dataclass(slots=True)
class Execution:
    """An attempt in execution."""

    request: member_pb2.ExecuteRequest
    statement: str
    request_id: str  # the client's
    work_us: int
    executed: bool = False


class GrpcService:
    """Serves `juniperreel.member.v1.Member` for one endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self._endpoint = endpoint
        self._cached_report = CachedReport(0, member_pb2.ReportResponse())
        self._writes_in_progress: dict[str, trio.Event] = {}  # by idempotency key

    def methods(self) -> dict[str, Method]:
        """The handlers of the service, by method path."""
        return {
            "/juniperreel.member.v1.Member/Execute": Method(unary=self._execute),
            "/juniperreel.member.v1.Member/Report": Method(unary=self._report),
            REPLICATE_METHOD: Method(streaming=self._replicate),
        }

    def reset(self) -> None:
        """Discard the writes in progress, when the process restarts."""
        self._writes_in_progress = {}

    async def _replicate(self, call: Call) -> None:
        await LogSender(self._endpoint, call).run()

    async def _report(self, _call: Call, _data: bytes) -> bytes:
        await self._endpoint.wait_while_hung()
        now = self._endpoint.recorded_at_us()
        if now - self._cached_report.at_us > REPORT_INTERVAL_US:  # reports are stale between refreshes
            capacity = self._endpoint.capacity
            report = member_pb2.ReportResponse(
                standing=self._endpoint.replication_status(),
                in_hand=capacity.in_flight,
                waiting=capacity.queued,
            )
            self._cached_report = CachedReport(now, report)
        return self._cached_report.report.SerializeToString()

    async def _execute(self, call: Call, data: bytes) -> bytes:
        endpoint = self._endpoint
        execution = self._decode(data)
        request = execution.request
        mean_us = endpoint.mean_work_us(request.write)
        endpoint.record(
            AttemptReceived(
                endpoint.recorded_at_us(),
                endpoint.name,
                edge_of(request.request),
                request.request,
                request.attempt,
                execution.request_id,
                getattr(request, "class"),
                request.write,
                mean_us,
            )
        )
        endpoint.capacity.offer(mean_us)
        outcome = "stopped"
        try:
            response = await self._answer(call, execution)
            outcome = "answered"
        except RpcError as error:
            outcome = error.reason(ERROR_DOMAIN) or error.code.name
            raise
        finally:
            now = endpoint.recorded_at_us()
            finished = AttemptFinished(
                now, endpoint.name, request.request, request.attempt, outcome, execution.executed
            )
            endpoint.record(finished)
        return response

    def _decode(self, data: bytes) -> Execution:
        try:
            request = member_pb2.ExecuteRequest.FromString(data)
            statement = request.statement.decode()
        except (DecodeError, UnicodeDecodeError) as error:
            raise RpcError(Code.INVALID_ARGUMENT, "not an ExecuteRequest") from error
        work_us = self._endpoint.capacity.draw_work_us(self._endpoint.mean_work_us(request.write))
        return Execution(request, statement, request_id_of(statement), work_us)

    async def _answer(self, call: Call, execution: Execution) -> bytes:
        endpoint = self._endpoint
        await endpoint.wait_while_hung()
        self._reject_by_fault_or_role(execution.request)
        try:
            response = await self._run(call, execution)
        except QueueFullError as error:
            raise not_executed("NOT_EXECUTED", "the queue is full", Code.RESOURCE_EXHAUSTED) from error
        except StatementError as error:
            raise not_executed("STATEMENT", str(error), Code.INVALID_ARGUMENT) from error
        if endpoint.occurs(endpoint.faults.lost_responses):
            await trio.sleep_forever()
        if endpoint.occurs(endpoint.faults.broken_connections):
            call.break_connection("broken off")
            await trio.sleep_forever()
        await endpoint.wait_while_hung()
        return response.SerializeToString()

    def _reject_by_fault_or_role(self, request: member_pb2.ExecuteRequest) -> None:
        endpoint = self._endpoint
        if endpoint.faults.rejecting:
            raise not_executed("NOT_EXECUTED", "no room", Code.RESOURCE_EXHAUSTED)
        if endpoint.occurs(endpoint.faults.failed_requests):
            raise RpcError(Code.INTERNAL, "something inside is broken")
        if request.write and not endpoint.claims_primary:
            raise not_executed("NOT_PRIMARY", f"{endpoint.name} is a replica")
        if not request.write:
            self._check_positions(request)

    async def _run(self, call: Call, execution: Execution) -> member_pb2.ExecuteResponse:
        endpoint = self._endpoint
        request = execution.request
        parameters = [value_from_proto(value) for value in request.parameters]
        endpoint.replica.store.check(execution.statement, parameters, request.write)
        async with endpoint.capacity.core():
            if call.deadline_us is not None and endpoint.recorded_at_us() >= call.deadline_us:
                raise RpcError(Code.DEADLINE_EXCEEDED, "not begun: the time is over")
            await endpoint.capacity.execute(execution.work_us)
            await endpoint.wait_while_hung()
            if request.write:
                return await self._write(execution, Statement(execution.statement, tuple(parameters)))
            result = endpoint.replica.store.query(execution.statement, parameters)
            response = member_pb2.ExecuteResponse(result=result, standing=endpoint.replication_status())
            execution.executed = True
            return response

    def _check_positions(self, request: member_pb2.ExecuteRequest) -> None:
        """Raise RpcError if this replica has not applied the positions that the read requires."""
        status = self._endpoint.replication_status()
        behind = status.position < max(request.floor, request.oldest)
        for needed in request.needed:
            later_starts = [epoch.start for epoch in status.epochs if epoch.epoch > needed.epoch]
            lost = needed.epoch > status.epochs[-1].epoch
            if later_starts and needed.position > min(later_starts):
                lost = True
            behind = behind or lost or status.position < needed.position
        if behind:
            raise not_executed("BEHIND", f"{self._endpoint.name} has not reached what is asked for")

    async def _write(self, execution: Execution, statement: Statement) -> member_pb2.ExecuteResponse:
        endpoint = self._endpoint
        key = execution.request.idempotency_key
        while key and key in self._writes_in_progress:
            await self._writes_in_progress[key].wait()
        if not endpoint.claims_primary:
            raise not_executed("NOT_PRIMARY", f"{endpoint.name} is no longer primary")
        earlier = endpoint.replica.executed_writes.get(key) if key else None
        if key:
            self._writes_in_progress[key] = trio.Event()
        try:
            write = earlier or self._commit(execution, statement)
            execution.executed = True
            await endpoint.wait_until_replicated(write.position)
        finally:
            if key:
                self._writes_in_progress.pop(key).set()
        return member_pb2.ExecuteResponse(
            result=values_pb2.ResultSet(affected=max(write.rows, 0)),
            standing=endpoint.replication_status(),
            commit=write.position,
            repeated=earlier is not None,
        )

    def _commit(self, execution: Execution, statement: Statement) -> ExecutedWrite:
        row = str(statement.parameters[0]) if statement.parameters else ""
        key = execution.request.idempotency_key
        return self._endpoint.commit([statement], key, execution.request_id, row)


def not_executed(reason: str, text: str, code: Code = Code.FAILED_PRECONDITION) -> RpcError:
    """An error response which states that the request was not executed."""
    return RpcError(code, text, [error_info(reason, ERROR_DOMAIN)])

"""The gRPC front end: juniperreel.v1.Records.

A call passes three stages. `_shed_early` rejects it from its headers, before a task is started for it;
`_admit` parses it and submits it to the proxy, still on the connection's reading task; `_execute` awaits the
proxy's answer in the call's own task and encodes it.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from juniperreel.causal import Keyring
from juniperreel.frontends import grpc_status
from juniperreel.frontends.grpc_request import (
    PREVIOUS_ATTEMPTS_HEADER,
    TOKEN_HEADER,
    RequestParser,
    find_group,
)
from juniperreel.frontends.mysql.conversion import to_result_set
from juniperreel.frontends.outcome import outcome_of, record_request
from juniperreel.net import Clock
from juniperreel.pool.result import Result
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.proxy import (
    Answer,
    ClientRequest,
    Failed,
    OpenRequest,
    Rejected,
    RequestDriver,
    Served,
    StatementFailed,
)
from juniperreel.rpc.call import Call
from juniperreel.rpc.metadata import decode_timeout
from juniperreel.rpc.server import Method
from juniperreel.rpc.status import RpcError

SERVICE = "juniperreel.v1.Records"

# Class, tenant and group may be repeated in headers: a call can then be rejected ahead of its message.
CLASS_HEADER = "juniperreel-class"
TENANT_HEADER = "juniperreel-tenant"
GROUP_HEADER = "juniperreel-group"


class GrpcFrontend:
    """Serves Execute calls through the proxy. Keeps no state between calls."""

    def __init__(self, driver: RequestDriver, keyring: Keyring, clock: Clock) -> None:
        """`keyring` signs and checks causal tokens."""
        self._driver = driver
        self._keyring = keyring
        self._clock = clock
        self._parser = RequestParser(driver.options, keyring)

    def methods(self) -> dict[str, Method]:
        """The service's methods by full path, for `rpc.server.Server`."""
        execute = Method(
            unary=self._execute,
            shed_early=self._shed_early,
            admit=self._admit,
            release=self._driver.client_disconnected,
        )
        return {f"/{SERVICE}/Execute": execute}

    def _shed_early(self, headers: dict[str, str], message: bytes | None, arrived_us: int) -> bytes | None:
        """Return the encoded rejection of a call that would be rejected on arrival, else None.

        Returns None for a malformed call too: the later stages report what is wrong with it.
        """
        options = self._driver.options
        try:
            if CLASS_HEADER in headers:
                class_name = headers[CLASS_HEADER]
                tenant_name = headers.get(TENANT_HEADER, "")
                group = int(headers.get(GROUP_HEADER, "0"))
            elif message is not None:
                request = records_pb2.ExecuteRequest.FromString(message)
                class_name = getattr(request, "class")
                tenant_name = request.tenant
                group = find_group(request, options.groups)
            else:
                return None
            class_index = self._parser.class_indices[class_name]
            deadline_us = arrived_us + options.router.classes[class_index].deadline_us
            if "grpc-timeout" in headers:
                deadline_us = min(deadline_us, arrived_us + decode_timeout(headers["grpc-timeout"]))
        except (DecodeError, KeyError, ValueError, RpcError):
            return None
        if not 0 <= group < options.groups:
            return None
        tenant_index = self._parser.tenant_indices.get(tenant_name, -1)
        rejection = self._driver.check_admission(class_index, tenant_index, group, deadline_us)
        if rejection is None:
            return None
        is_retry = headers.get(PREVIOUS_ATTEMPTS_HEADER, "0") != "0"
        return self._encode_rejection(class_name, rejection, is_retry)

    def _encode_rejection(self, class_name: str, rejection: Rejected, is_retry: bool) -> bytes:
        """Count a rejection and return its encoded headers."""
        outcome, reason = outcome_of(rejection)
        self._driver.metrics.request(class_name, outcome, reason).inc()
        if is_retry:
            self._driver.metrics.repeats.labels(class_name).inc()
        return grpc_status.rejection_block(rejection)

    def _admit(self, call: Call, message: bytes) -> bytes | OpenRequest | None:
        """Submit the request from the connection's reading task.

        Admission must have counted it before the next call of the same read is checked. Returns the encoded
        rejection, the open request, or None for a malformed call, whose own task reports the error.
        """
        try:
            request = self._parser.parse(call, message)
        except RpcError:
            return None
        submitted = self._driver.submit(request)
        if isinstance(submitted, Rejected):
            return self._encode_rejection(self._class_name(request), submitted, request.is_retry)
        return submitted

    def _class_name(self, request: ClientRequest) -> str:
        return self._driver.options.router.classes[request.class_index].name

    async def _execute(self, call: Call, message: bytes) -> bytes:
        admitted: OpenRequest | None = call.take_admission()
        submitted = admitted or self._driver.submit(self._parser.parse(call, message))
        if isinstance(submitted, Rejected):
            raise grpc_status.rejection_status(submitted)
        request = submitted.request
        class_name = self._class_name(request)
        metrics = self._driver.metrics
        if request.is_retry:
            metrics.repeats.labels(class_name).inc()
        started_us = self._clock.now_us()
        response_deadline_us = request.deadline_us - self._driver.options.answer_margin_us // 2
        call.set_deadline(response_deadline_us, grpc_status.deadline_status())
        answer: Answer | None = None
        try:
            with self._driver.traces.span("request", cls=class_name, group=request.group):
                answer = await self._driver.wait_for_answer(submitted)
        finally:
            # A call that is cancelled before its deadline has lost its client: there is no outcome to record.
            now_us = self._clock.now_us()
            if answer is not None or now_us >= response_deadline_us:
                record_request(metrics, class_name, answer, now_us - started_us)
        return self._encode_answer(call, answer)

    def _encode_answer(self, call: Call, answer: Answer) -> bytes:
        """The response message of a served request. Raises RpcError for any other answer."""
        match answer:
            case Served():
                return self._encode_response(call, answer)
            case Rejected():
                raise grpc_status.rejection_status(answer)
            case Failed():
                raise grpc_status.failure_status(answer)
            case StatementFailed():
                raise grpc_status.statement_error_status(answer)

    def _encode_response(self, call: Call, answer: Served) -> bytes:
        token = self._keyring.encode(answer.token)
        result = answer.result
        if isinstance(result, Result):
            result = to_result_set(result)
        call.trailing_metadata.append((TOKEN_HEADER, token))
        response = records_pb2.ExecuteResponse(
            result=result,
            causal_token=token,
            member=answer.endpoint,
            role=records_pb2.ROLE_PRIMARY if answer.from_primary else records_pb2.ROLE_REPLICA,
            attempts=answer.attempts,
        )
        return response.SerializeToString()

"""The gRPC transport of fake clients."""

from __future__ import annotations

import random
from collections.abc import Sequence

import trio
from google.protobuf.message import DecodeError

from juniperreel.fakes.client_session import (
    REJECTIONS,
    AttemptReporter,
    AttemptResult,
    ClientRequest,
    ClientSession,
    EdgeAddress,
)
from juniperreel.net import ConnectError
from juniperreel.net.clock import US
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.status import PUSHBACK, Code, RpcError
from juniperreel.verification.records import KEYED, NON_IDEMPOTENT

EXECUTE_METHOD = "/juniperreel.v1.Records/Execute"
DO_NOT_RETRY = "-1"
RECONNECT_DELAY_S = (0.1, 0.5)  # before a retry after a broken connection


class GrpcTransport:
    """Sends requests over one channel to each edge."""

    def __init__(
        self,
        rng: random.Random,
        edges: Sequence[EdgeAddress],
        channels: Sequence[Channel],
        reporter: AttemptReporter,
    ) -> None:
        """`channels` has one channel for each edge, in the same order."""
        self._rng = rng
        self._edges = edges
        self._channels = channels
        self._reporter = reporter

    async def attempt(self, session: ClientSession, request: ClientRequest, number: int) -> float | None:
        """Send a request once; returns the seconds to wait before a retry, or None if there is to be none."""
        await self._find_edge(session)
        timeout_us = int(request.traffic.deadline_us * self._rng.uniform(0.6, 1.0))
        edge = session.edge
        sent_at_us = self._reporter.record_sent(session, request, number, self._edges[edge].name, timeout_us)
        message = _encode(session, request)
        metadata = [("grpc-previous-rpc-attempts", str(number))] if number else []
        result = AttemptResult()
        try:
            with trio.fail_after(timeout_us / US):
                reply = await self._channels[edge].unary(
                    EXECUTE_METHOD, message.SerializeToString(), metadata, timeout_us
                )
            self._read_response(session, request, reply.message, result)
        except RpcError as error:
            self._read_error(error, result)
        except trio.TooSlowError:
            result.status = Code.DEADLINE_EXCEEDED
            result.local = True
        except (ConnectError, CallUnprocessedError, CallInterruptedError) as error:
            # The edge is down. The client must retry its requests in flight at another edge.
            result.status = Code.UNAVAILABLE
            result.local = True
            session.edge = (session.edge + 1) % len(self._edges)
            if request.request_class.idempotency != NON_IDEMPOTENT or not isinstance(
                error, CallInterruptedError
            ):
                result.retry_delay_s = self._rng.uniform(*RECONNECT_DELAY_S)
        except DecodeError:
            result.status = Code.INTERNAL
            result.local = True
        self._reporter.record_response(request, number, sent_at_us, result)
        return result.retry_delay_s

    async def _find_edge(self, session: ClientSession) -> None:
        """Move the session to an edge that accepts connections.

        This happens before the request is recorded, because a failed connection sends nothing: a channel in
        backoff after a crash of its edge says nothing about an edge that has restarted since.
        """
        for _ in range(2 * len(self._edges)):
            try:
                await self._channels[session.edge].connection()
            except ConnectError:
                session.edge = (session.edge + 1) % len(self._edges)
                await trio.sleep(self._rng.uniform(0.01, 0.05))
            else:
                return

    @staticmethod
    def _read_response(
        session: ClientSession, request: ClientRequest, data: bytes, result: AttemptResult
    ) -> None:
        response = records_pb2.ExecuteResponse.FromString(data)
        if request.request_class.write or request.request_class.session:
            session.causal_token = response.causal_token
        result.endpoint = response.member
        result.primary = response.role == records_pb2.ROLE_PRIMARY
        result.attempts = response.attempts
        result.rows = [row.values[0].text for row in response.result.rows]

    def _read_error(self, error: RpcError, result: AttemptResult) -> None:
        result.status = error.code
        pushback = dict(error.metadata).get(PUSHBACK, "")
        result.do_not_retry = pushback == DO_NOT_RETRY
        if isinstance(pushback, str) and pushback.isdigit():
            result.retry_after_us = int(pushback) * 1000
        if result.status in REJECTIONS and not result.do_not_retry:
            result.retry_delay_s = result.retry_after_us / US * self._rng.uniform(1.0, 1.3)


def _encode(session: ClientSession, request: ClientRequest) -> records_pb2.ExecuteRequest:
    keyed = request.request_class.idempotency == KEYED
    message = records_pb2.ExecuteRequest(
        tenant=session.tenant,
        group=request.group,
        statement=request.statement.encode(),
        session=session.name,
        idempotency_key=f"{session.name}-{request.request_id}" if keyed else "",
        causal_token=session.causal_token,
    )
    setattr(message, "class", request.request_class.name)
    for value in request.values:
        message.parameters.append(values_pb2.Value(text=value))
    return message

"""A client process of a load run. It uses grpc.aio, so that it shares no protocol code with the edge.

    python -m juniperreel.load.client PLAN NUMBER START OUT

Sends the requests of PLAN that are assigned to process NUMBER, starting at the Unix time START
(microseconds), and writes the attempts to OUT. Prints its CPU usage and request counts once a second.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from juniperreel.load.arrivals import NO_TENANT, SECOND_US, PlannedRequest, RequestSampler, sample_requests
from juniperreel.load.plan import IMMEDIATE_RETRY, NO_RETRY, Plan, Stage, read_plan
from juniperreel.load.result_file import (
    CLIENT_DEADLINE_STATUS,
    ENCODER,
    REJECTED_STATUSES,
    Attempt,
    ProcessUsage,
)
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2

EXECUTE = "/juniperreel.v1.Records/Execute"
PUSHBACK_KEY = "grpc-retry-pushback-ms"
STATUS_DETAILS_KEY = "grpc-status-details-bin"
PREVIOUS_ATTEMPTS_KEY = "grpc-previous-rpc-attempts"
UNAVAILABLE = 14
IMMEDIATE_RETRY_DELAY_S = (0.0, 0.05)  # range of the delay of a retry that ignores retry-after
DEFAULT_RETRY_AFTER_S = 0.2  # if the server sent none
RETRY_JITTER = (1.0, 1.3)
DRAIN_TIMEOUT_S = 5.0  # allowed for the last responses after their deadlines
MAX_REASON_LENGTH = 120
REQUEST_NUMBERS_PER_CLOSED_CLIENT = 1_000_000  # range of request numbers reserved for each client
CHANNEL_OPTIONS = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))


@dataclass(slots=True)
class AttemptOutcome:
    """The outcome of one attempt; the fields are those of Attempt."""

    status: int = 0
    local: bool = False
    retry_after_ms: int = 0
    edge_attempts: int = 0
    reason: str = ""


@dataclass(slots=True)
class IntervalCounts:
    """The counters of this process since its last report."""

    lag_us: int = 0
    requests: int = 0
    served: int = 0
    rejected: int = 0


class LoadClient:
    """Sends the requests of a plan that are assigned to this process."""

    def __init__(self, plan: Plan, number: int, start_us: int, out: Path) -> None:
        self._plan = plan
        self._number = number
        self._start_us = start_us
        self._rng = random.Random(plan.seed * 1000 + number)
        self._out = out.open("wb")
        self._tokens: dict[int, bytes] = {}  # by session
        self._channels: list[Any] = []
        self._calls: list[Any] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._counts = IntervalCounts()

    async def run(self) -> None:
        """Send all requests when they are due and wait for the responses."""
        self._open_channels()
        assigned_requests = [
            request for request in sample_requests(self._plan) if self._is_assigned(request.number)
        ]
        reporting = asyncio.create_task(self._report_usage())
        for stage_index, stage in enumerate(self._plan.stages):
            if stage.closed_clients:
                self._start_closed_clients(stage_index, stage)
        for request in assigned_requests:
            wait_us = request.due_us - self._now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / SECOND_US)
            self._start_task(self._send_request(request))
        while self._tasks:
            timeout_s = DRAIN_TIMEOUT_S + self._plan.longest_deadline_us / SECOND_US
            await asyncio.wait(list(self._tasks), timeout=timeout_s)
        reporting.cancel()
        for channel in self._channels:
            await channel.close()
        self._out.close()

    def _open_channels(self) -> None:
        for host, port in self._plan.targets * self._plan.channels:
            # Without `use_local_subchannel_pool`, grpc.aio channels with equal options share one connection.
            channel = grpc.aio.insecure_channel(f"{host}:{port}", options=CHANNEL_OPTIONS)
            self._channels.append(channel)
            self._calls.append(channel.unary_unary(EXECUTE))

    def _now_us(self) -> int:
        """Return the time since the start of the run."""
        return time.time_ns() // 1000 - self._start_us

    def _is_assigned(self, number: int) -> bool:
        return number % self._plan.processes == self._number

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_closed_clients(self, stage_index: int, stage: Stage) -> None:
        """Start the stage's closed-loop clients that are assigned to this process."""
        sampler = RequestSampler(self._plan, random.Random(self._rng.random()))
        for number in range(stage.closed_clients):
            if self._is_assigned(number):
                self._start_task(self._run_closed_client(number, stage_index, stage, sampler))

    async def _run_closed_client(
        self, number: int, stage_index: int, stage: Stage, sampler: RequestSampler
    ) -> None:
        await asyncio.sleep(max(0, stage.start_us - self._now_us()) / SECOND_US)
        request_number = REQUEST_NUMBERS_PER_CLOSED_CLIENT * (number + 1)
        while (now_us := self._now_us()) < stage.start_us + stage.duration_us:
            await self._send_request(sampler.sample(now_us, request_number, stage_index))
            request_number += 1

    async def _report_usage(self) -> None:
        second = 0
        previous_cpu_s = time.process_time()
        while True:
            second += 1
            await asyncio.sleep(max(0.0, second - self._now_us() / SECOND_US))
            cpu_s = time.process_time() - previous_cpu_s
            previous_cpu_s += cpu_s
            counts = self._counts
            self._counts = IntervalCounts()
            usage = ProcessUsage(
                second,
                f"client {self._number}",
                cpu_s,
                counts.lag_us,
                counts.requests,
                counts.served,
                counts.rejected,
            )
            print(ENCODER.encode(usage).decode(), flush=True)

    async def _send_request(self, request: PlannedRequest) -> None:
        """Send a request and its retries, according to the plan's retry behaviour."""
        due_us = request.due_us
        for number in range(self._plan.retries + 1):
            attempt = await self._send_attempt(request, number, due_us)
            self._out.write(ENCODER.encode(attempt) + b"\n")
            if not self._may_retry(attempt):
                return
            retry_delay_s = self._retry_delay_s(attempt)
            due_us = self._now_us() + int(retry_delay_s * SECOND_US)
            await asyncio.sleep(retry_delay_s)

    def _may_retry(self, attempt: Attempt) -> bool:
        rejected = attempt.status in REJECTED_STATUSES and attempt.retry_after_ms >= 0
        return rejected and self._plan.behaviour != NO_RETRY

    def _retry_delay_s(self, attempt: Attempt) -> float:
        if self._plan.behaviour == IMMEDIATE_RETRY:
            return self._rng.uniform(*IMMEDIATE_RETRY_DELAY_S)
        retry_after_s = attempt.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S
        return retry_after_s * self._rng.uniform(*RETRY_JITTER)

    async def _send_attempt(self, request: PlannedRequest, number: int, due_us: int) -> Attempt:
        message = self._build_message(request)
        metadata = self._build_metadata(message, request, number)
        call = self._calls[(request.number // self._plan.processes) % len(self._calls)]
        sent_us = self._now_us()
        self._counts.lag_us = max(self._counts.lag_us, sent_us - due_us)
        self._counts.requests += 1
        timeout_s = self._plan.classes[request.cls].deadline_us / SECOND_US
        try:
            response = await call(message.SerializeToString(), timeout=timeout_s, metadata=metadata)
            outcome = self._on_response(request, records_pb2.ExecuteResponse.FromString(response))
        except grpc.aio.AioRpcError as error:
            outcome = self._on_error(error)
        return Attempt(
            due_us=due_us,
            sent_us=sent_us,
            took_us=self._now_us() - due_us,
            request=request.number,
            attempt=number,
            stage=request.stage,
            cls=request.cls,
            tenant=request.tenant,
            session=request.session,
            status=outcome.status,
            local=outcome.local,
            retry_after_ms=outcome.retry_after_ms,
            edge_attempts=outcome.edge_attempts,
            reason=outcome.reason,
        )

    def _build_message(self, request: PlannedRequest) -> records_pb2.ExecuteRequest:
        plan = self._plan
        load_class = plan.classes[request.cls]
        request_id = f"l{self._number}.{request.number}"
        row = f"r{request.session}"
        message = records_pb2.ExecuteRequest(
            tenant=plan.tenants[request.tenant].name if request.tenant != NO_TENANT else "",
            group=request.session % plan.groups,
            statement=load_class.statement.format(request_id).encode(),
            session=f"s{request.session}",
            idempotency_key=f"{plan.seed}-{request_id}" if load_class.writes else "",
            causal_token=self._tokens.get(request.session, b""),
        )
        setattr(message, "class", load_class.name)
        for value in (row, request_id) if load_class.writes else (row,):
            message.parameters.append(values_pb2.Value(text=value))
        return message

    def _build_metadata(
        self, message: records_pb2.ExecuteRequest, request: PlannedRequest, number: int
    ) -> list[tuple[str, str]]:
        metadata = [(PREVIOUS_ATTEMPTS_KEY, str(number))] if number else []
        if self._plan.headers:
            metadata.append(("juniperreel-class", self._plan.classes[request.cls].name))
            metadata.append(("juniperreel-tenant", message.tenant))
            metadata.append(("juniperreel-group", str(message.group)))
        return metadata

    def _on_response(self, request: PlannedRequest, response: records_pb2.ExecuteResponse) -> AttemptOutcome:
        if response.causal_token:
            self._tokens[request.session] = response.causal_token
        self._counts.served += 1
        return AttemptOutcome(edge_attempts=response.attempts)

    def _on_error(self, error: grpc.aio.AioRpcError) -> AttemptOutcome:
        status = error.code().value[0]
        trailers = dict(error.trailing_metadata() or ())
        pushback = trailers.get(PUSHBACK_KEY, "")
        self._counts.rejected += status in REJECTED_STATUSES
        return AttemptOutcome(
            status=status,
            # Only a status generated by the server carries details.
            local=STATUS_DETAILS_KEY not in trailers and status in (CLIENT_DEADLINE_STATUS, UNAVAILABLE),
            retry_after_ms=int(pushback) if pushback.lstrip("-").isdigit() else 0,
            reason=(error.details() or "")[:MAX_REASON_LENGTH],
        )


def main() -> None:
    """The process's entry point."""
    plan, number, start_us, out = sys.argv[1:5]
    client = LoadClient(read_plan(Path(plan)), int(number), int(start_us), Path(out))
    asyncio.run(client.run())


if __name__ == "__main__":
    main()

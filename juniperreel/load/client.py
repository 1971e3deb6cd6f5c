"""One process of a load run, on grpc.aio: an outside client, as unlike the edge's own code as can be.

    python -m juniperreel.load.client PLAN NUMBER START OUT

sends what process NUMBER of the PLAN has to, from the Unix time START (microseconds) on, and writes attempts
to OUT. Once a second it prints what it spent and did.
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

from juniperreel.load.arrivals import NO_TENANT, SECOND_US, PlannedRequest, RequestChooser, draw_requests
from juniperreel.load.plan import NAIVE, PATIENT, Plan, Stage, read_plan
from juniperreel.load.result_file import ENCODER, LOCAL_STATUS, REJECTED_STATUSES, Attempt, ProcessUsage
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2

EXECUTE = "/juniperreel.v1.Records/Execute"
PUSHBACK = "grpc-retry-pushback-ms"
DETAILS = "grpc-status-details-bin"
PREVIOUS_ATTEMPTS = "grpc-previous-rpc-attempts"
UNAVAILABLE = 14
NAIVE_PAUSE_S = (0.0, 0.05)  # before a retry that waits for nobody
DEFAULT_RETRY_AFTER_S = 0.2  # where the server named none
RETRY_JITTER = (1.0, 1.3)
DRAIN_S = 5.0  # for the last answers, beyond their deadlines
REASON_CHARACTERS = 120
CLOSED_CLIENT_NUMBERS = 1_000_000  # numbers of requests that each closed-loop client has to itself
CHANNEL_OPTIONS = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))


@dataclass(slots=True)
class Outcome:
    """What became of one attempt; the fields are those of Attempt."""

    status: int = 0
    local: bool = False
    retry_after_ms: int = 0
    edge_attempts: int = 0
    reason: str = ""


@dataclass(slots=True)
class SecondCounts:
    """What this process did since it last reported."""

    lag_us: int = 0
    requests: int = 0
    served: int = 0
    rejected: int = 0


class LoadClient:
    """The part of a plan that falls to this process."""

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
        self._counts = SecondCounts()

    async def run(self) -> None:
        """Send all requests at their times and wait for their answers."""
        self._open_channels()
        own_requests = [request for request in draw_requests(self._plan) if self._is_own(request.number)]
        reporting = asyncio.create_task(self._report_usage())
        for index, stage in enumerate(self._plan.stages):
            if stage.closed_clients:
                self._start_closed_clients(index, stage)
        for request in own_requests:
            wait_us = request.at_us - self._now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / SECOND_US)
            self._start(self._send_request(request))
        while self._tasks:
            timeout_s = DRAIN_S + self._plan.longest_deadline_us / SECOND_US
            await asyncio.wait(list(self._tasks), timeout=timeout_s)
        reporting.cancel()
        for channel in self._channels:
            await channel.close()
        self._out.close()

    def _open_channels(self) -> None:
        for host, port in self._plan.targets * self._plan.channels:
            # grpc.aio shares one connection among channels of like options, unless told not to.
            channel = grpc.aio.insecure_channel(f"{host}:{port}", options=CHANNEL_OPTIONS)
            self._channels.append(channel)
            self._calls.append(channel.unary_unary(EXECUTE))

    def _now_us(self) -> int:
        """Since the run's start."""
        return time.time_ns() // 1000 - self._start_us

    def _is_own(self, number: int) -> bool:
        return number % self._plan.processes == self._number

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_closed_clients(self, index: int, stage: Stage) -> None:
        """Start the stage's closed-loop clients, those of this process."""
        chooser = RequestChooser(self._plan, random.Random(self._rng.random()))
        for number in range(stage.closed_clients):
            if self._is_own(number):
                self._start(self._run_closed_client(number, index, stage, chooser))

    async def _run_closed_client(
        self, number: int, index: int, stage: Stage, chooser: RequestChooser
    ) -> None:
        await asyncio.sleep(max(0, stage.start_us - self._now_us()) / SECOND_US)
        request_number = CLOSED_CLIENT_NUMBERS * (number + 1)
        while (now_us := self._now_us()) < stage.start_us + stage.span_us:
            await self._send_request(chooser.draw(now_us, request_number, index))
            request_number += 1

    async def _report_usage(self) -> None:
        second = 0
        reported_s = time.process_time()
        while True:
            second += 1
            await asyncio.sleep(max(0.0, second - self._now_us() / SECOND_US))
            cpu_s = time.process_time() - reported_s
            reported_s += cpu_s
            counts = self._counts
            self._counts = SecondCounts()
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
        """Make all attempts at one request, as the plan's behaviour has it."""
        due_us = request.at_us
        for number in range(self._plan.retries + 1):
            attempt = await self._send_attempt(request, number, due_us)
            self._out.write(ENCODER.encode(attempt) + b"\n")
            if not self._may_retry(attempt):
                return
            pause_s = self._retry_pause_s(attempt)
            due_us = self._now_us() + int(pause_s * SECOND_US)
            await asyncio.sleep(pause_s)

    def _may_retry(self, attempt: Attempt) -> bool:
        rejected = attempt.status in REJECTED_STATUSES and attempt.retry_after_ms >= 0
        return rejected and self._plan.behaviour != PATIENT

    def _retry_pause_s(self, attempt: Attempt) -> float:
        if self._plan.behaviour == NAIVE:
            return self._rng.uniform(*NAIVE_PAUSE_S)
        retry_after_s = attempt.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S
        return retry_after_s * self._rng.uniform(*RETRY_JITTER)

    async def _send_attempt(self, request: PlannedRequest, number: int, due_us: int) -> Attempt:
        message = self._message(request)
        metadata = self._metadata(message, request, number)
        call = self._calls[(request.number // self._plan.processes) % len(self._calls)]
        sent_us = self._now_us()
        self._counts.lag_us = max(self._counts.lag_us, sent_us - due_us)
        self._counts.requests += 1
        timeout_s = self._plan.classes[request.cls].deadline_us / SECOND_US
        try:
            reply = await call(message.SerializeToString(), timeout=timeout_s, metadata=metadata)
            outcome = self._on_response(request, records_pb2.ExecuteResponse.FromString(reply))
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

    def _message(self, request: PlannedRequest) -> records_pb2.ExecuteRequest:
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

    def _metadata(
        self, message: records_pb2.ExecuteRequest, request: PlannedRequest, number: int
    ) -> list[tuple[str, str]]:
        metadata = [(PREVIOUS_ATTEMPTS, str(number))] if number else []
        if self._plan.headers:
            metadata.append(("juniperreel-class", self._plan.classes[request.cls].name))
            metadata.append(("juniperreel-tenant", message.tenant))
            metadata.append(("juniperreel-group", str(message.group)))
        return metadata

    def _on_response(self, request: PlannedRequest, response: records_pb2.ExecuteResponse) -> Outcome:
        if response.causal_token:
            self._tokens[request.session] = response.causal_token
        self._counts.served += 1
        return Outcome(edge_attempts=response.attempts)

    def _on_error(self, error: grpc.aio.AioRpcError) -> Outcome:
        status = error.code().value[0]
        trailers = dict(error.trailing_metadata() or ())
        pushback = trailers.get(PUSHBACK, "")
        self._counts.rejected += status in REJECTED_STATUSES
        return Outcome(
            status=status,
            # Only a server's own status carries details.
            local=DETAILS not in trailers and status in (LOCAL_STATUS, UNAVAILABLE),
            retry_after_ms=int(pushback) if pushback.lstrip("-").isdigit() else 0,
            reason=(error.details() or "")[:REASON_CHARACTERS],
        )


def main() -> None:
    """The process's entry point."""
    plan, number, start_us, out = sys.argv[1:5]
    client = LoadClient(read_plan(Path(plan)), int(number), int(start_us), Path(out))
    asyncio.run(client.run())


if __name__ == "__main__":
    main()

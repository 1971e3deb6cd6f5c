"""Tests of the request driver, one batch at a time."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from juniperreel.causal import History
from juniperreel.net import Clock, TcpNetwork
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proxy import Answer, ClientRequest, Failed, Rejected, RequestDriver, Served
from juniperreel.proxy.attempts import AttemptResponse, EndpointReport
from juniperreel.proxy.endpoint_address import EndpointAddress
from juniperreel.proxy.grpc_endpoints import EndpointChannel
from juniperreel.proxy.open_requests import (
    Attempt,
    AttemptCompleted,
    EndpointListUpdated,
    HealthCheckCompleted,
)
from juniperreel.proxy.positions import ReplicationStatus
from juniperreel.routing.types import Outcome, UpdateKind
from juniperreel.telemetry.log import make_log
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces
from tests.proxy.builders import HISTORY, ROUTER, driver_options, listed_endpoint
from tests.routing.router_script import CLASS_INDEX, MS, SEC


class DriverHarness:
    """A driver that sends no attempts or health checks; the test enqueues their results."""

    def __init__(self, nursery: trio.Nursery, **changes: Any) -> None:
        self.clock = Clock(1_000 * SEC)
        self.metrics = Metrics()
        self.driver = RequestDriver(
            driver_options(**changes), TcpNetwork(), self.clock, make_log(), self.metrics, Traces()
        )
        self.driver._nursery = nursery
        self.driver._run_attempt = self.attempt  # type: ignore[method-assign]
        self.driver._run_health_check = self.health_check  # type: ignore[method-assign]
        self.driver.endpoints.set_address = lambda *_: None  # type: ignore[method-assign]
        self.driver.discovery.subscribe = self.subscribe  # type: ignore[method-assign]
        self.attempts: list[Attempt] = []
        self.timeouts_us: list[int] = []
        self.subscriptions: list[bool] = []
        self.health_checks: list[str] = []
        self.nursery = nursery

    async def attempt(self, attempt: Attempt, timeout_us: int) -> None:
        self.attempts.append(attempt)
        self.timeouts_us.append(timeout_us)
        await trio.lowlevel.checkpoint()

    def subscribe(self, enabled: bool) -> None:
        self.subscriptions.append(enabled)

    async def health_check(self, endpoint: str) -> None:
        self.health_checks.append(endpoint)

    async def list_endpoints(self, *names: str) -> None:
        endpoints = [listed_endpoint(name, listed_primary=name == "p") for name in names]
        self.driver.enqueue(EndpointListUpdated(UpdateKind.SNAPSHOT, endpoints))
        for name in names:
            self.driver.enqueue(
                HealthCheckCompleted(name, Outcome.OK, MS, EndpointReport(self.status(name == "p"), 0.0, 0.0))
            )
        await self.process_due()

    def status(self, is_primary: bool) -> ReplicationStatus:
        return ReplicationStatus(is_primary, self.clock.now_us(), HISTORY)

    async def process_due(self) -> None:
        self.driver._process_due()
        await trio.testing.wait_all_tasks_blocked()

    def submit(self, class_name: str, deadline_us: int = SEC) -> list[Answer]:
        answers: list[Answer] = []
        request = ClientRequest(
            CLASS_INDEX[class_name], -1, 0, self.clock.now_us() + deadline_us, b"x", idempotency_key="k"
        )

        async def run() -> None:
            answers.append(await self.driver.execute(request))

        self.nursery.start_soon(run)
        return answers

    def completed(
        self, attempt: Attempt, outcome: Outcome = Outcome.OK, status: ReplicationStatus | None = None
    ) -> AttemptCompleted:
        response = None
        if outcome is Outcome.OK:
            status = status or self.status(attempt.endpoint == "p")
            response = AttemptResponse(values_pb2.ResultSet(), status, self.clock.now_us())
        return AttemptCompleted(attempt, outcome, self.clock.now_us(), response)


@pytest.fixture
async def harness(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> DriverHarness:
    harness = DriverHarness(nursery)
    await harness.list_endpoints("p", "a", "b")
    return harness


async def start_request(
    harness: DriverHarness, class_name: str, **fields: Any
) -> tuple[list[Answer], Attempt]:
    answers = harness.submit(class_name, **fields)
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    return answers, harness.attempts[-1]


async def test_response_answers_its_request_once(harness: DriverHarness) -> None:
    answers, attempt = await start_request(harness, "any_read")
    harness.driver.enqueue(harness.completed(attempt))
    await harness.process_due()
    assert [type(a) for a in answers] == [Served]
    assert not harness.driver.open_requests


async def test_disconnect_in_the_same_batch_as_the_response_wins(harness: DriverHarness) -> None:
    scope = trio.CancelScope()

    async def disconnecting_client() -> None:
        request = ClientRequest(CLASS_INDEX["any_read"], -1, 0, harness.clock.now_us() + SEC, b"x")
        with scope:
            await harness.driver.execute(request)

    harness.nursery.start_soon(disconnecting_client)
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    attempt = harness.attempts[-1]
    harness.driver.enqueue(harness.completed(attempt))
    scope.cancel()
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    assert not harness.driver.open_requests
    assert harness.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_response_after_the_rejection_is_dropped_and_counted(harness: DriverHarness) -> None:
    answers, attempt = await start_request(harness, "any_read", deadline_us=300 * MS)
    await trio.sleep(0.4)  # past the deadline: the router's timer rejects the request
    harness.driver.enqueue(harness.completed(attempt, Outcome.TIMEOUT))
    await harness.process_due()
    assert [type(a) for a in answers] == [Rejected]
    harness.driver.enqueue(harness.completed(attempt))
    await harness.process_due()
    assert len(answers) == 1
    assert harness.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_request_in_the_same_batch_as_a_drain_notice_avoids_draining_endpoints(
    harness: DriverHarness,
) -> None:
    endpoints = [listed_endpoint(name, readiness="draining") for name in ("a", "b")]
    harness.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, endpoints))
    for _ in range(9):  # some are shed: reads do not overload a primary that has not responded yet
        harness.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    assert {a.endpoint for a in harness.attempts} == {"p"}


async def test_writes_to_a_draining_primary_end_with_the_drain_grace(harness: DriverHarness) -> None:
    primary = listed_endpoint("p", readiness="draining", listed_primary=True)
    harness.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, [primary]))
    _, attempt = await start_request(harness, "write")
    assert attempt.endpoint == "p"
    harness.driver.enqueue(harness.completed(attempt))
    await harness.process_due()
    await trio.sleep(2.1)
    count = len(harness.attempts)
    harness.submit("write")
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    assert all(a.endpoint != "p" for a in harness.attempts[count:])


async def test_stale_response_is_not_served_and_the_read_is_retried(harness: DriverHarness) -> None:
    """An endpoint restored from a backup is behind the position that was recorded for it earlier."""
    answers, attempt = await start_request(harness, "bounded_read")
    old = ReplicationStatus(False, harness.clock.now_us() - 10 * SEC, HISTORY)
    harness.driver.enqueue(harness.completed(attempt, status=old))
    await harness.process_due()
    assert not answers
    assert len(harness.attempts) == 2
    assert harness.metrics.registry.get_sample_value("juniperreel_stale_answers_total") == 1


async def test_write_confirmed_in_an_ended_epoch_is_retried_only_if_keyed(harness: DriverHarness) -> None:
    later = History.from_starts([(1, 0), (2, harness.clock.now_us() - SEC)])
    for class_name, kind in (("write", Served), ("non_idempotent_write", Failed)):
        answers, attempt = await start_request(harness, class_name)
        harness.driver.enqueue(
            HealthCheckCompleted(
                "a",
                Outcome.OK,
                MS,
                EndpointReport(ReplicationStatus(True, harness.clock.now_us(), later), 0.0, 0.0),
            )
        )
        harness.driver.enqueue(harness.completed(attempt))  # confirmed by the deposed primary
        await harness.process_due()
        for _ in range(20):
            if answers:
                break
            await trio.sleep(0.03)
            await harness.process_due()
            if harness.attempts[-1] is not attempt and not answers:
                status = ReplicationStatus(True, harness.clock.now_us(), later)
                harness.driver.enqueue(harness.completed(harness.attempts[-1], status=status))
                await harness.process_due()
        assert [type(a) for a in answers] == [kind]


async def test_request_beyond_the_open_requests_limit_is_rejected_with_retry_after(
    nursery: trio.Nursery,
) -> None:
    harness = DriverHarness(nursery, max_open_requests=1)
    harness.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    request = ClientRequest(0, -1, 0, harness.clock.now_us() + SEC, b"x")
    answer = await harness.driver.execute(request)
    assert isinstance(answer, Rejected)
    assert answer.local
    assert 0 < answer.retry_after_us <= ROUTER.max_retry_after_us
    nursery.cancel_scope.cancel()


async def test_policy_that_raises_fails_its_batch_and_the_driver_goes_on(harness: DriverHarness) -> None:
    handle = harness.driver.router.handle

    def broken(_now: int, _events: Any) -> Any:
        raise ZeroDivisionError

    harness.driver.router.handle = broken  # type: ignore[method-assign,assignment]
    answers = harness.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    await harness.process_due()
    assert [type(a) for a in answers] == [Failed]
    harness.driver.router.handle = handle  # type: ignore[method-assign]
    answers, attempt = await start_request(harness, "any_read")
    harness.driver.enqueue(harness.completed(attempt))
    await harness.process_due()
    assert [type(a) for a in answers] == [Served]


async def test_response_in_the_same_batch_as_the_deadline_is_the_one_answer(harness: DriverHarness) -> None:
    answers, attempt = await start_request(harness, "any_read", deadline_us=300 * MS)
    await trio.sleep(0.4)  # past the deadline: the router's timer is overdue
    harness.driver.enqueue(harness.completed(attempt))
    await harness.process_due()
    await harness.process_due()
    assert [type(a) for a in answers] == [Served]
    assert not harness.driver.open_requests


async def test_stalled_driver_blames_no_endpoint_for_the_timeout(harness: DriverHarness) -> None:
    _, attempt = await start_request(harness, "any_read")
    await trio.sleep(0.5)
    harness.driver.enqueue(harness.completed(attempt, Outcome.TIMEOUT))
    await harness.process_due()
    state = harness.driver.router.state.endpoints[attempt.endpoint]
    assert not state.ejected and state.consecutive_losses == 0
    assert harness.metrics.registry.get_sample_value("juniperreel_stalls_total") == 1


async def test_restarted_edge_with_the_same_seed_uses_new_request_ids(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """The checker of rule 2 would take two requests with the same id for two attempts at one request."""
    before = DriverHarness(nursery)
    await trio.sleep(2)
    after = DriverHarness(nursery)
    assert before.driver.options.seed == after.driver.options.seed
    ids = []
    for harness in (before, after):
        request = ClientRequest(0, -1, 0, harness.clock.now_us() + SEC, b"x")
        harness.driver.submit(request)
        ids.append(request.id)
    assert ids[0] != ids[1]
    assert ids[0].rsplit("-", 2)[0] == ids[1].rsplit("-", 2)[0]


class SlowChannel:
    """A channel that connects when the test sets `connected`, and counts the calls made on it."""

    def __init__(self) -> None:
        self.connected = trio.Event()
        self.calls = 0
        self.closed = False

    async def connection(self) -> None:
        await self.connected.wait()

    async def unary(self, *_: Any, **__: Any) -> Any:
        self.calls += 1
        await trio.sleep_forever()


@pytest.mark.parametrize("drains", [False, True])
async def test_attempt_whose_connection_comes_up_late_is_sent_only_where_it_still_fits(
    harness: DriverHarness, drains: bool
) -> None:
    """While the attempt waits for its connection, the endpoint starts draining.

    The same check covers an idempotency key that has expired and a position that has become too old.
    """
    _, attempt = await start_request(harness, "any_read")
    channel = SlowChannel()
    address = EndpointAddress("127.0.0.1", 1)
    harness.driver.endpoints._channels[attempt.endpoint] = EndpointChannel(address, channel)  # type: ignore[attr-defined,arg-type]
    done: list[AttemptCompleted] = []

    async def run() -> None:
        done.append(await harness.driver._runner.run(attempt, SEC))

    harness.nursery.start_soon(run)
    await trio.testing.wait_all_tasks_blocked()
    if drains:
        endpoint = listed_endpoint(attempt.endpoint, readiness="draining")
        harness.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, [endpoint]))
        await harness.process_due()
    channel.connected.set()
    await trio.testing.wait_all_tasks_blocked()
    assert channel.calls == (0 if drains else 1)
    assert [ended.outcome for ended in done] == ([Outcome.NOT_SENT] if drains else [])

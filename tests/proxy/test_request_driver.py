"""The request driver, batch by batch; the test ends the attempts."""

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


class Bench:
    """A driver whose attempts go nowhere until the test ends them."""

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
async def bench(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> Bench:
    made = Bench(nursery)
    await made.list_endpoints("p", "a", "b")
    return made


async def started(bench: Bench, class_name: str, **fields: Any) -> tuple[list[Answer], Attempt]:
    answers = bench.submit(class_name, **fields)
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    return answers, bench.attempts[-1]


async def test_response_answers_its_request_once(bench: Bench) -> None:
    answers, attempt = await started(bench, "any_read")
    bench.driver.enqueue(bench.completed(attempt))
    await bench.process_due()
    assert [type(a) for a in answers] == [Served]
    assert not bench.driver.open_requests


async def test_disconnect_in_the_same_batch_as_the_response_wins(bench: Bench) -> None:
    scope = trio.CancelScope()

    async def disconnecting_client() -> None:
        request = ClientRequest(CLASS_INDEX["any_read"], -1, 0, bench.clock.now_us() + SEC, b"x")
        with scope:
            await bench.driver.execute(request)

    bench.nursery.start_soon(disconnecting_client)
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    attempt = bench.attempts[-1]
    bench.driver.enqueue(bench.completed(attempt))
    scope.cancel()
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    assert not bench.driver.open_requests
    assert bench.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_response_after_the_rejection_is_dropped_and_counted(bench: Bench) -> None:
    answers, attempt = await started(bench, "any_read", deadline_us=300 * MS)
    await trio.sleep(0.4)  # past the deadline: the router's timer rejects it
    bench.driver.enqueue(bench.completed(attempt, Outcome.TIMEOUT))
    await bench.process_due()
    assert [type(a) for a in answers] == [Rejected]
    bench.driver.enqueue(bench.completed(attempt))
    await bench.process_due()
    assert len(answers) == 1
    assert bench.metrics.registry.get_sample_value("juniperreel_late_answers_total") == 1


async def test_request_in_the_same_batch_as_a_drain_notice_avoids_draining_endpoints(bench: Bench) -> None:
    endpoints = [listed_endpoint(name, readiness="draining") for name in ("a", "b")]
    bench.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, endpoints))
    for _ in range(9):  # some are shed: reads do not crowd a primary that has sent no response yet
        bench.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    assert {a.endpoint for a in bench.attempts} == {"p"}


async def test_writes_to_a_draining_primary_end_with_the_drain_grace(bench: Bench) -> None:
    primary = listed_endpoint("p", readiness="draining", listed_primary=True)
    bench.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, [primary]))
    _, attempt = await started(bench, "write")
    assert attempt.endpoint == "p"
    bench.driver.enqueue(bench.completed(attempt))
    await bench.process_due()
    await trio.sleep(2.1)
    count = len(bench.attempts)
    bench.submit("write")
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    assert all(a.endpoint != "p" for a in bench.attempts[count:])


async def test_stale_response_is_not_served_and_the_read_is_retried(bench: Bench) -> None:
    """The endpoint was restored from a backup: its position, once recorded, is too high."""
    answers, attempt = await started(bench, "bounded_read")
    old = ReplicationStatus(False, bench.clock.now_us() - 10 * SEC, HISTORY)
    bench.driver.enqueue(bench.completed(attempt, status=old))
    await bench.process_due()
    assert not answers
    assert len(bench.attempts) == 2
    assert bench.metrics.registry.get_sample_value("juniperreel_stale_answers_total") == 1


async def test_write_confirmed_in_an_ended_epoch_is_retried_only_if_keyed(bench: Bench) -> None:
    later = History.from_starts([(1, 0), (2, bench.clock.now_us() - SEC)])
    for class_name, kind in (("write", Served), ("non_idempotent_write", Failed)):
        answers, attempt = await started(bench, class_name)
        bench.driver.enqueue(
            HealthCheckCompleted(
                "a",
                Outcome.OK,
                MS,
                EndpointReport(ReplicationStatus(True, bench.clock.now_us(), later), 0.0, 0.0),
            )
        )
        bench.driver.enqueue(bench.completed(attempt))  # by the deposed one
        await bench.process_due()
        for _ in range(20):
            if answers:
                break
            await trio.sleep(0.03)
            await bench.process_due()
            if bench.attempts[-1] is not attempt and not answers:
                status = ReplicationStatus(True, bench.clock.now_us(), later)
                bench.driver.enqueue(bench.completed(bench.attempts[-1], status=status))
                await bench.process_due()
        assert [type(a) for a in answers] == [kind]


async def test_request_beyond_the_open_requests_limit_is_rejected_with_retry_after(
    nursery: trio.Nursery,
) -> None:
    bench = Bench(nursery, max_open_requests=1)
    bench.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    request = ClientRequest(0, -1, 0, bench.clock.now_us() + SEC, b"x")
    answer = await bench.driver.execute(request)
    assert isinstance(answer, Rejected)
    assert answer.local
    assert 0 < answer.retry_after_us <= ROUTER.max_retry_after_us
    nursery.cancel_scope.cancel()


async def test_policy_that_raises_fails_its_batch_and_the_driver_goes_on(bench: Bench) -> None:
    handle = bench.driver.router.handle

    def broken(_now: int, _events: Any) -> Any:
        raise ZeroDivisionError

    bench.driver.router.handle = broken  # type: ignore[method-assign,assignment]
    answers = bench.submit("any_read")
    await trio.testing.wait_all_tasks_blocked()
    await bench.process_due()
    assert [type(a) for a in answers] == [Failed]
    bench.driver.router.handle = handle  # type: ignore[method-assign]
    answers, attempt = await started(bench, "any_read")
    bench.driver.enqueue(bench.completed(attempt))
    await bench.process_due()
    assert [type(a) for a in answers] == [Served]


async def test_response_in_the_same_batch_as_the_deadline_is_the_one_answer(bench: Bench) -> None:
    answers, attempt = await started(bench, "any_read", deadline_us=300 * MS)
    await trio.sleep(0.4)  # the router's timer is long overdue
    bench.driver.enqueue(bench.completed(attempt))
    await bench.process_due()
    await bench.process_due()
    assert [type(a) for a in answers] == [Served]
    assert not bench.driver.open_requests


async def test_stalled_driver_blames_no_endpoint_for_the_timeout(bench: Bench) -> None:
    _, attempt = await started(bench, "any_read")
    await trio.sleep(0.5)
    bench.driver.enqueue(bench.completed(attempt, Outcome.TIMEOUT))
    await bench.process_due()
    state = bench.driver.router.state.endpoints[attempt.endpoint]
    assert not state.ejected and state.consecutive_losses == 0
    assert bench.metrics.registry.get_sample_value("juniperreel_stalls_total") == 1


async def test_restarted_edge_with_the_same_seed_uses_new_request_ids(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Two requests of one id would look like two attempts of one request to the checker of rule 2."""
    before = Bench(nursery)
    await trio.sleep(2)
    after = Bench(nursery)
    assert before.driver.options.seed == after.driver.options.seed
    ids = []
    for bench in (before, after):
        request = ClientRequest(0, -1, 0, bench.clock.now_us() + SEC, b"x")
        bench.driver.submit(request)
        ids.append(request.id)
    assert ids[0] != ids[1]
    assert ids[0].rsplit("-", 2)[0] == ids[1].rsplit("-", 2)[0]


class SlowChannel:
    """A channel whose connection comes up when the test says so, and that notes what is called on it."""

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
    bench: Bench, drains: bool
) -> None:
    """Its endpoint was told to drain meanwhile; a key may be forgotten, or a position too old, alike."""
    _, attempt = await started(bench, "any_read")
    channel = SlowChannel()
    address = EndpointAddress("127.0.0.1", 1)
    bench.driver.endpoints._channels[attempt.endpoint] = EndpointChannel(address, channel)  # type: ignore[attr-defined,arg-type]
    done: list[AttemptCompleted] = []

    async def run() -> None:
        done.append(await bench.driver._runner.run(attempt, SEC))

    bench.nursery.start_soon(run)
    await trio.testing.wait_all_tasks_blocked()
    if drains:
        endpoint = listed_endpoint(attempt.endpoint, readiness="draining")
        bench.driver.enqueue(EndpointListUpdated(UpdateKind.DELTA, [endpoint]))
        await bench.process_due()
    channel.connected.set()
    await trio.testing.wait_all_tasks_blocked()
    assert channel.calls == (0 if drains else 1)
    assert [ended.outcome for ended in done] == ([Outcome.NOT_SENT] if drains else [])

"""Event-driven tests of the admission controller: each request is admitted, queued or rejected once."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.admission import (
    Admission,
    AdmissionController,
    Arrival,
    Decision,
    Rejection,
    RejectionReason,
)
from juniperreel.admission.controlled_delay import QueueKey
from juniperreel.admission.quota import QuotaStatus
from juniperreel.emulator.limit_alternatives import FixedLimit
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings
from juniperreel.routing.types import Consistency, Tenant

CLASSES = (
    make_request_class("low-weight", 1.0),
    make_request_class("high-weight", 5.0),
    make_request_class("write", 4.0, consistency=Consistency.WRITE),
)
TENANTS = (Tenant("big", 0.7, 0.0), Tenant("small", 0.3, 0.0))


BIG = 0  # indices into TENANTS
SMALL = 1
LOW_WEIGHT = 0  # indices into CLASSES
HIGH_WEIGHT = 1
WRITE = 2


def make_controller(max_open: int = 1000) -> AdmissionController:
    controller = AdmissionController(make_settings(CLASSES, TENANTS), max_open, seed=1, make_limit=FixedLimit)
    controller.set_endpoint_count(0, 4)
    return controller


def make_arrival(
    name: str,
    class_index: int = LOW_WEIGHT,
    tenant_index: int = BIG,
    group: int = 0,
    at_us: int = 0,
    deadline_us: int | None = None,
    bypasses_limits: bool = False,
) -> Arrival:
    if deadline_us is None:
        deadline_us = at_us + 2 * SECOND_US
    return Arrival(
        name, class_index, tenant_index, group, at_us, deadline_us, bypasses_limits=bypasses_limits
    )


def fill_lane(
    controller: AdmissionController, class_index: int = LOW_WEIGHT, group: int = 0, at_us: int = 0
) -> int:
    """Admit requests until the lane is full; return their number."""
    count = 0
    while controller.lane(group, CLASSES[class_index]).has_capacity:
        name = f"f{group}.{class_index}.{count}"
        (decision,) = controller.on_arrival(at_us, make_arrival(name, class_index, group=group, at_us=at_us))
        assert isinstance(decision, Admission)
        count += 1
    return count


def test_arrival_with_capacity_is_admitted_at_once() -> None:
    controller = make_controller()
    assert controller.on_arrival(0, make_arrival("a")) == [Admission("a")]
    assert controller.in_flight == 1
    assert controller.queued == 0
    assert controller.on_finished(45_000, "a", 45_000) == []
    assert controller.in_flight == 0


def test_queued_request_when_another_finishes_is_admitted() -> None:
    controller = make_controller()
    fill_lane(controller)
    assert controller.on_arrival(0, make_arrival("queued")) == []
    assert controller.queued == 1
    assert controller.on_finished(45_000, "f0.0.0", 45_000) == [Admission("queued")]


def test_full_lane_does_not_hold_back_other_lanes() -> None:
    controller = make_controller()
    fill_lane(controller)
    controller.on_arrival(0, make_arrival("waits"))
    assert controller.on_arrival(0, make_arrival("other-group", group=1)) == [Admission("other-group")]
    assert controller.on_arrival(0, make_arrival("a-write", WRITE)) == [Admission("a-write")], (
        "the primary's lane is separate from that of the replicas"
    )


def test_queued_request_after_its_sojourn_is_rejected() -> None:
    controller = make_controller()
    fill_lane(controller)
    controller.on_arrival(0, make_arrival("waits"))
    due_us = controller.next_timer_us()
    assert due_us is not None
    assert due_us < CLASSES[0].latency_objective_us
    assert controller.on_timer(due_us // 2) == []
    (rejection,) = controller.on_timer(due_us)
    assert isinstance(rejection, Rejection)
    assert rejection.request == "waits"
    assert rejection.reason is RejectionReason.QUEUED_TOO_LONG
    assert rejection.retry_after_us > 0
    assert controller.queued == 0


def test_queued_request_with_deadline_before_its_sojourn_is_rejected_before_the_deadline() -> None:
    controller = make_controller()
    fill_lane(controller)
    controller.on_arrival(0, make_arrival("short-deadline", deadline_us=60_000))
    due_us = controller.next_timer_us()
    assert due_us is not None
    assert due_us < 60_000
    (rejection,) = controller.on_timer(due_us)
    assert isinstance(rejection, Rejection)
    assert rejection.reason is RejectionReason.QUEUED_TOO_LONG


def test_arrival_too_close_to_its_deadline_is_rejected_at_once() -> None:
    (rejection,) = make_controller().on_arrival(0, make_arrival("near-deadline", deadline_us=5_000))
    assert isinstance(rejection, Rejection)
    assert rejection.reason is RejectionReason.DEADLINE_TOO_CLOSE


def complete_at_interval(controller: AdmissionController, interval_us: int, completions: int = 60) -> int:
    """Complete a request per interval in a full lane, so that its rate is measured; return the end time."""
    fill_lane(controller)
    now_us = 0
    for n in range(completions):
        now_us += interval_us
        oldest = next(iter(controller._in_flight))
        controller.on_arrival(now_us, make_arrival(f"s{n}", at_us=now_us))
        controller.on_finished(now_us, oldest, 130_000)
    return now_us


def test_arrival_behind_a_long_queue_is_rejected() -> None:
    controller = make_controller()
    now_us = complete_at_interval(controller, 20_000)
    outcomes = [controller.on_arrival(now_us, make_arrival(f"q{n}", at_us=now_us)) for n in range(40)]
    queued = sum(outcome == [] for outcome in outcomes)
    assert 0 < queued <= 0.5 * CLASSES[0].latency_objective_us / 20_000
    assert all(isinstance(outcome[0], Rejection) for outcome in outcomes if outcome)
    early = controller.reject_early(now_us, 0, 0, 0, 2 * SECOND_US)
    assert early is not None
    assert early.reason is RejectionReason.GROUP_AT_LIMIT


def test_arrivals_of_higher_weight_displace_lower_ones_and_are_admitted_first() -> None:
    controller = make_controller()
    now_us = complete_at_interval(controller, 20_000)
    while not controller.on_arrival(now_us, make_arrival(f"low{controller.queued}", at_us=now_us)):
        pass
    decisions: list[Decision] = []
    for n in range(40):
        decisions += controller.on_arrival(now_us, make_arrival(f"high{n}", HIGH_WEIGHT, at_us=now_us))
    rejected = [decision for decision in decisions if isinstance(decision, Rejection)]
    assert rejected
    assert rejected[0].request.startswith("low")
    assert rejected[0].reason is RejectionReason.OUTRANKED
    oldest = next(iter(controller._in_flight))
    assert Admission("high0") in controller.on_finished(now_us + 1, oldest, 130_000)


def test_tenant_over_its_quota_is_queued_behind_the_others() -> None:
    controller = make_controller()
    fill_lane(controller)
    lane = controller.lane(0, CLASSES[0])
    for _ in range(600):  # the small tenant requests all capacity and gets it
        lane.on_arrival(0, QueueKey(SMALL, 1.0), rejected=False)
        lane.on_admission(SMALL)
        lane.in_flight -= 1
    assert lane.quota_status(BIG) is QuotaStatus.WITHIN_QUOTA
    assert lane.quota_status(SMALL) is QuotaStatus.OVER_QUOTA
    controller.on_arrival(0, make_arrival("small", tenant_index=SMALL))
    controller.on_arrival(1, make_arrival("big", tenant_index=BIG, at_us=1))
    assert controller.on_finished(45_000, "f0.0.0", 45_000)[0] == Admission("big")


def test_tenant_within_quota_ranks_above_underserved_tenant() -> None:
    lane = make_controller().lane(0, CLASSES[0])
    for n in range(4000):  # the big tenant sends ten times what is served; both get their shares
        for _ in range(10):
            lane.on_arrival(0, QueueKey(BIG, 1.0), rejected=True)
        if n % 10 < 2:
            lane.on_arrival(0, QueueKey(SMALL, 1.0), rejected=False)
        lane.on_admission(BIG if n % 10 < 7 else SMALL)
    assert lane.quota_status(BIG) is QuotaStatus.UNDERSERVED
    assert lane.quota_status(SMALL) is QuotaStatus.WITHIN_QUOTA
    assert lane.quota_status(-1) is QuotaStatus.OVER_QUOTA


def test_arrival_that_bypasses_limits_is_admitted_at_the_process_limit() -> None:
    controller = make_controller(max_open=4)
    for n in range(4):
        controller.on_arrival(0, make_arrival(f"a{n}"))
    (rejection,) = controller.on_arrival(0, make_arrival("over-limit"))
    assert isinstance(rejection, Rejection)
    assert rejection.reason is RejectionReason.PROCESS_AT_LIMIT
    assert controller.on_arrival(0, make_arrival("commit", bypasses_limits=True)) == [Admission("commit")]


def test_controller_shutting_down_rejects_arrivals_and_admits_its_queue() -> None:
    controller = make_controller()
    fill_lane(controller)
    controller.on_arrival(0, make_arrival("waits"))
    controller.shutting_down = True
    (rejection,) = controller.on_arrival(0, make_arrival("new"))
    assert isinstance(rejection, Rejection)
    assert rejection.reason is RejectionReason.SHUTTING_DOWN
    assert controller.on_finished(45_000, "f0.0.0", 45_000) == [Admission("waits")]


def test_queued_request_of_disconnected_client_is_removed() -> None:
    controller = make_controller()
    fill_lane(controller)
    controller.on_arrival(0, make_arrival("disconnects"))
    controller.on_arrival(0, make_arrival("stays"))
    assert controller.on_client_disconnected(10, "disconnects") == []
    assert controller.queued == 1
    assert controller.on_finished(45_000, "f0.0.0", 45_000) == [Admission("stays")]


def test_retry_after_of_requests_rejected_together_is_spread() -> None:
    controller = make_controller(max_open=1)
    controller.on_arrival(0, make_arrival("a"))
    waits = []
    for n in range(200):
        (rejection,) = controller.on_arrival(0, make_arrival(f"t{n}"))
        assert isinstance(rejection, Rejection)
        waits.append(rejection.retry_after_us)
    assert max(waits[100:]) > 1.8 * min(waits[100:])
    assert max(waits) <= SECOND_US
    assert sum(waits[150:]) > sum(waits[:50]), "retry-after grows with the rejected fraction"


def test_process_limit_falls_with_loop_lag_and_recovers() -> None:
    controller = make_controller(max_open=5000)
    for n in range(200):
        controller.on_arrival(0, make_arrival(f"a{n}", group=n))
    for step in range(1, 40):
        controller.on_loop_lag(step * 100_000, 300_000)
    assert controller.process_limit.value < 20
    for n in range(200):
        controller.on_finished(4 * SECOND_US, f"a{n}", 45_000)
    for step in range(41, 400):
        for n in range(int(controller.process_limit.value)):
            controller.on_arrival(step * 100_000, make_arrival(f"b{step}.{n}", group=n, at_us=step * 100_000))
        controller.on_loop_lag(step * 100_000, 1_000)
        for n in range(int(controller.process_limit.value) + 1):
            controller.on_finished(step * 100_000, f"b{step}.{n}", 45_000)
    assert controller.process_limit.value > 20


STEP = st.one_of(
    st.tuples(
        st.just("arrive"), st.integers(0, 2), st.integers(-1, 1), st.integers(0, 2), st.integers(1, 3000)
    ),
    st.tuples(st.just("complete"), st.integers(0, 400), st.sampled_from(("served", "dropped", "error"))),
    st.tuples(st.just("disconnect"), st.integers(0, 400)),
    st.tuples(st.just("advance"), st.integers(0, 400_000)),
    st.tuples(st.just("lag"), st.integers(0, 500_000)),
    st.tuples(st.just("endpoints"), st.integers(0, 2), st.integers(0, 30)),
)


class AdmissionHistory:
    """A controller, and its decision on each request so far."""

    def __init__(self, max_open: int) -> None:
        self.controller = make_controller(max_open)
        self.now_us = 0
        self.by_request: dict[str, Decision | None] = {}  # None: the client has disconnected
        self.in_flight: list[str] = []
        self._max_open = max_open
        self._deadlines_us: dict[str, int] = {}  # by request, in order of arrival

    @property
    def requests(self) -> list[str]:
        return list(self._deadlines_us)

    def record(self, decisions: list[Decision]) -> None:
        """Check that each request gets at most one decision, and is not admitted after its deadline."""
        for decision in decisions:
            assert isinstance(decision, Admission | Rejection)
            assert decision.request not in self.by_request, "second decision on a request"
            self.by_request[decision.request] = decision
            if isinstance(decision, Admission):
                self.in_flight.append(decision.request)
                assert self.now_us <= self._deadlines_us[decision.request], "admitted after its deadline"
            else:
                assert 0 <= decision.retry_after_us <= SECOND_US

    def apply(self, step: tuple[object, ...]) -> None:
        match step:
            case ("arrive", int(class_index), int(tenant_index), int(group), int(remaining_ms)):
                self._arrive(class_index, tenant_index, group, remaining_ms * 1000)
            case ("complete", int(which), str(outcome)) if self.in_flight:
                self.finish(self.in_flight[which % len(self.in_flight)], outcome)
            case ("disconnect", int(which)) if self._deadlines_us:
                self._disconnect(self.requests[which % len(self._deadlines_us)])
            case ("advance", int(span_us)):
                self._advance(span_us)
            case ("lag", int(lag_us)):
                self.controller.on_loop_lag(self.now_us, lag_us)
            case ("endpoints", int(group), int(count)):
                self.controller.set_endpoint_count(group, count)

    def _arrive(self, class_index: int, tenant_index: int, group: int, remaining_us: int) -> None:
        name = f"r{len(self._deadlines_us)}"
        deadline_us = self.now_us + remaining_us
        self._deadlines_us[name] = deadline_us
        self.controller.reject_early(self.now_us, class_index, tenant_index, group, remaining_us)
        arrival = Arrival(name, class_index, tenant_index, group, self.now_us, deadline_us)
        self.record(self.controller.on_arrival(self.now_us, arrival))

    def finish(self, name: str, outcome: str) -> None:
        self.in_flight.remove(name)
        response_time_us = 50_000 if outcome == "served" else None
        self.record(self.controller.on_finished(self.now_us, name, response_time_us, outcome == "dropped"))

    def _disconnect(self, name: str) -> None:
        if name not in self.by_request:
            self.by_request[name] = None
            self.record(self.controller.on_client_disconnected(self.now_us, name))

    def _advance(self, span_us: int) -> None:
        end_us = self.now_us + span_us
        while (due_us := self.controller.next_timer_us()) is not None and due_us <= end_us:
            self.now_us = max(self.now_us, due_us)
            self.record(self.controller.on_timer(self.now_us))
        self.now_us = end_us

    def check_invariants(self) -> None:
        assert self.controller.in_flight == len(self.in_flight)
        assert self.controller.queued == sum(name not in self.by_request for name in self.requests)
        assert self.controller.in_flight + self.controller.queued <= self._max_open
        for _, lane in self.controller.lanes():
            assert lane.limit.minimum <= lane.limit.value
            assert lane.in_flight >= 0


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=120), st.integers(1, 40))
def test_every_arrival_gets_one_decision_in_time(steps: list[tuple[object, ...]], max_open: int) -> None:
    """Conservation: each arrival is admitted, is rejected, or its client disconnects, once and in time."""
    history = AdmissionHistory(max_open)
    for step in steps:
        history.apply(step)
        history.check_invariants()
    history.now_us += 3 * SECOND_US
    history.record(history.controller.on_timer(history.now_us))
    for name in list(history.in_flight):
        history.finish(name, "error")
    assert history.controller.queued == 0
    assert all(name in history.by_request for name in history.requests)

"""The admission controller in front of the router: admits, queues or rejects requests.

It maps events to decisions, without a clock and without I/O. There is a concurrency limit for the replicas of
each group, one for the primary of each group, and one for the whole process, which adapts to event loop lag.
A full lane does not delay requests in other lanes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.admission.concurrency import INITIAL_LIMIT, ConcurrencyLimit
from juniperreel.admission.controlled_delay import QueueKey
from juniperreel.admission.decisions import Admission, Arrival, Decision, Rejection, RejectionReason
from juniperreel.admission.lane import PriorityLane, QueuedRequest
from juniperreel.admission.process_limit import ProcessLimit
from juniperreel.routing.types import Consistency, RequestClass, Settings

MILLISECOND_US = 1_000
# A request with less time left until its deadline cannot be answered in time.
MINIMUM_REMAINING_US = 10 * MILLISECOND_US
MINIMUM_RETRY_AFTER_FRACTION = 0.2  # of the maximum retry-after, sent when few requests are rejected
# Random factor of the retry-after, so that requests rejected together do not retry together.
RETRY_AFTER_JITTER = (0.5, 1.0)
REJECTED_FRACTION_DECAY = 0.98  # weight of the previous fraction, per arrival
MAXIMUM_QUEUED_PER_LANE = 10_000  # bounds memory; the sojourn time is what normally limits a queue
MINIMUM_LANE_LIMIT = 2.0


class LaneKey(NamedTuple):
    """Identifies a lane of a group: that of its primary, or the one shared by its replicas."""

    group: int
    primary: bool


@dataclass(frozen=True, slots=True)
class InFlight:
    """An admitted request that has not completed."""

    lane: PriorityLane
    request_class: RequestClass
    admitted_us: int
    lane_was_full: bool
    lane_in_flight: int  # including this request, when it was admitted


class AdmissionController:
    """Admission control for one router.

    The caller must call `on_finished` exactly once for each `Admission`. Each arrival gets exactly one
    decision, unless its client disconnects first.
    """

    def __init__(
        self,
        settings: Settings,
        max_open: int,
        seed: int,
        make_limit: Callable[[float], ConcurrencyLimit] = ConcurrencyLimit,
    ) -> None:
        """Create an idle controller.

        Args:
            settings: the router's settings.
            max_open: the maximum number of requests in flight and queued, regardless of the adaptive limits.
            seed: the seed of the retry-after jitter.
            make_limit: creates the limit of a lane, given its minimum.
        """
        self._settings = settings
        self._make_limit = make_limit
        self._shares = tuple(tenant.capacity_share for tenant in settings.tenants)
        self._random = random.Random(seed)
        self._lanes: dict[LaneKey, PriorityLane] = {}
        self._in_flight: dict[str, InFlight] = {}
        self._queued: dict[str, tuple[PriorityLane, QueuedRequest]] = {}
        self._endpoint_counts: dict[int, int] = {}
        self.process_limit = ProcessLimit(float(max_open))
        self.max_open = max_open
        self.rejected_fraction = 0.0  # of recent arrivals
        self.retries = 0
        self.shutting_down = False

    # State.

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not completed."""
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        """Number of queued requests in all lanes."""
        return len(self._queued)

    def lanes(self) -> Iterable[tuple[LaneKey, PriorityLane]]:
        """Return all lanes that have been used."""
        return list(self._lanes.items())

    def lane(self, group: int, request_class: RequestClass) -> PriorityLane:
        """Return the lane for requests of a class, created on first use.

        Only the primary serves writes and fresh reads; all other reads share the replicas' lane.
        """
        primary = request_class.consistency in (Consistency.WRITE, Consistency.FRESH)
        key = LaneKey(group, primary)
        lane = self._lanes.get(key)
        if lane is None:
            limit = self._make_limit(self._minimum_limit(key))
            limit.set_restart_limit(INITIAL_LIMIT / max(self._settings.router_count, 1))
            lane = PriorityLane(self._shares, limit)
            self._lanes[key] = lane
        return lane

    def set_endpoint_count(self, group: int, count: int) -> None:
        """Set the number of endpoints of a group, which bounds its limits from below.

        A limit lower than that would leave some endpoints idle.
        """
        self._endpoint_counts[group] = count
        for key in (LaneKey(group, primary=False), LaneKey(group, primary=True)):
            if key in self._lanes:
                self._lanes[key].limit.set_minimum(self._minimum_limit(key))

    def _minimum_limit(self, key: LaneKey) -> float:
        endpoints = 1 if key.primary else max(self._endpoint_counts.get(key.group, 1) - 1, 1)
        return max(MINIMUM_LANE_LIMIT, endpoints / max(self._settings.router_count, 1))

    # Arrivals.

    def reject_early(
        self, now_us: int, class_index: int, tenant_index: int, group: int, remaining_us: int
    ) -> Rejection | None:
        """Return the rejection that an arrival would get immediately, before it is processed further.

        The arrival is counted only if it is rejected. `remaining_us` is the time until its deadline.
        """
        request_class = self._settings.classes[class_index]
        lane = self.lane(group, request_class)
        lane.expire_observations(now_us)
        key = QueueKey(tenant_index, request_class.priority_weight)
        reason = self._rejection_reason(lane, key, request_class, remaining_us)
        if reason is None:
            return None
        lane.on_arrival(now_us, key, rejected=True)
        return self._reject("", reason)

    def _rejection_reason(
        self, lane: PriorityLane, key: QueueKey, request_class: RequestClass, remaining_us: int
    ) -> RejectionReason | None:
        """Return why an arrival must be rejected, or None. The cheapest checks come first."""
        if self.shutting_down:
            return RejectionReason.SHUTTING_DOWN
        if remaining_us <= MINIMUM_REMAINING_US:
            return RejectionReason.DEADLINE_TOO_CLOSE
        if len(self._in_flight) + len(self._queued) >= self.max_open:
            return RejectionReason.PROCESS_AT_LIMIT
        if self._admits_immediately(lane):
            return None
        process_full = not self._process_has_capacity()
        if process_full and lane.limit.value <= lane.in_flight + lane.queued:
            # If the event loop is the bottleneck, each queued request adds to its load: do not queue beyond
            # the lane's limit on requests in flight, unless the request displaces one of lower rank.
            return None if lane.outranks_any_queued(key) else RejectionReason.PROCESS_AT_LIMIT
        if self._fits_in_queue(lane, key, request_class, remaining_us) or lane.outranks_any_queued(key):
            return None
        return RejectionReason.PROCESS_AT_LIMIT if process_full else RejectionReason.GROUP_AT_LIMIT

    def _process_has_capacity(self) -> bool:
        return len(self._in_flight) < self.process_limit.value

    def _admits_immediately(self, lane: PriorityLane) -> bool:
        return not lane.queued and lane.has_capacity and self._process_has_capacity()

    def _fits_in_queue(
        self, lane: PriorityLane, key: QueueKey, request_class: RequestClass, remaining_us: int
    ) -> bool:
        """Return whether a new request is expected to be admitted in time."""
        objective_us = request_class.latency_objective_us
        wait_us = lane.estimated_wait_us(lane.queued_ahead(key) + 1, objective_us)
        max_wait_us = min(lane.max_sojourn_us(key, objective_us), remaining_us - MINIMUM_REMAINING_US)
        return wait_us <= max_wait_us and lane.queued < MAXIMUM_QUEUED_PER_LANE

    def on_arrival(self, now_us: int, arrival: Arrival) -> list[Decision]:
        """Admit, queue or reject a request.

        If the request is queued, its decision is returned by a later call. The result may include decisions
        on other requests.
        """
        request_class = self._settings.classes[arrival.class_index]
        lane = self.lane(arrival.group, request_class)
        lane.expire_observations(now_us)
        self.retries += arrival.is_retry
        if arrival.bypasses_limits:
            return [self._admit(now_us, lane, request_class, arrival.id, arrival.tenant_index)]
        key = QueueKey(arrival.tenant_index, request_class.priority_weight)
        reason = self._rejection_reason(lane, key, request_class, arrival.deadline_us - now_us)
        lane.on_arrival(now_us, key, rejected=reason is not None)
        if reason is not None:
            return [self._reject(arrival.id, reason)]
        self.rejected_fraction *= REJECTED_FRACTION_DECAY
        if self._admits_immediately(lane):
            return [self._admit(now_us, lane, request_class, arrival.id, arrival.tenant_index)]
        self._enqueue(now_us, lane, key, request_class, arrival)
        return self._reject_unservable(now_us, lane)

    def _enqueue(
        self, now_us: int, lane: PriorityLane, key: QueueKey, request_class: RequestClass, arrival: Arrival
    ) -> None:
        # Time in the socket buffer counts as time queued, but the decision to queue it was made as of now.
        sojourn_us = lane.max_sojourn_us(key, request_class.latency_objective_us)
        sojourn_end_us = max(arrival.readable_us + sojourn_us, now_us + 1)
        expires_us = min(sojourn_end_us, arrival.deadline_us - MINIMUM_REMAINING_US)
        queued = QueuedRequest(arrival.id, request_class, arrival.tenant_index, expires_us)
        lane.enqueue(queued)
        self._queued[arrival.id] = (lane, queued)

    def _admit(
        self, now_us: int, lane: PriorityLane, request_class: RequestClass, request: str, tenant_index: int
    ) -> Admission:
        lane.on_admission(tenant_index)
        lane_was_full = lane.queued > 0 or not lane.has_capacity
        self._in_flight[request] = InFlight(lane, request_class, now_us, lane_was_full, lane.in_flight)
        self.process_limit.on_start(len(self._in_flight))
        return Admission(request)

    def _reject(self, request: str, reason: RejectionReason) -> Rejection:
        self.rejected_fraction = REJECTED_FRACTION_DECAY * self.rejected_fraction + (
            1 - REJECTED_FRACTION_DECAY
        )
        ceiling_us = self._settings.max_retry_after_us if self._settings.retry_after_hints else 0
        fraction = MINIMUM_RETRY_AFTER_FRACTION + (1 - MINIMUM_RETRY_AFTER_FRACTION) * self.rejected_fraction
        retry_after_us = int(ceiling_us * fraction * self._random.uniform(*RETRY_AFTER_JITTER))
        return Rejection(request, reason, retry_after_us)

    # Completions.

    def on_finished(
        self, now_us: int, request: str, response_time_us: int | None, dropped: bool = False
    ) -> list[Decision]:
        """Record the completion of a request in flight, and admit queued requests.

        Args:
            now_us: the current time.
            request: the id of the request; unknown ids are ignored.
            response_time_us: the response time of its successful attempt; None if there was none.
            dropped: whether endpoints rejected it because of overload, or did not respond.
        """
        finished = self._in_flight.pop(request, None)
        if finished is None:
            return []
        lane = finished.lane
        lane.on_completion(now_us, was_full=lane.queued > 0 or finished.lane_was_full)
        if response_time_us is not None:
            objective_us = finished.request_class.latency_objective_us
            lane.limit.on_success(
                now_us, response_time_us, objective_us, lane.in_flight, finished.lane_in_flight
            )
        elif dropped:
            waited_us = now_us - finished.admitted_us
            lane.limit.on_drop(now_us, waited_us, lane.in_flight, finished.lane_in_flight)
        return self._admit_queued(now_us, lane)

    def on_client_disconnected(self, now_us: int, request: str) -> list[Decision]:
        """Remove a queued request. A request in flight still requires a call of `on_finished`."""
        entry = self._queued.pop(request, None)
        if entry is None:
            return []
        lane, queued = entry
        lane.remove(queued)
        return self._admit_queued(now_us, lane)

    def _admit_queued(self, now_us: int, lane: PriorityLane) -> list[Decision]:
        """Reject queued requests that cannot be served in time, then admit as many as the limits allow."""
        decisions: list[Decision] = self._reject_unservable(now_us, lane)
        while lane.queued and lane.has_capacity and self._process_has_capacity():
            queued = lane.pop_next()
            if queued is None:
                break
            del self._queued[queued.id]
            decisions.append(self._admit(now_us, lane, queued.request_class, queued.id, queued.tenant_index))
        return decisions

    def _reject_unservable(self, now_us: int, lane: PriorityLane) -> list[Decision]:
        decisions: list[Decision] = []
        while (queued := lane.pop_expired(now_us)) is not None:
            del self._queued[queued.id]
            decisions.append(self._reject(queued.id, RejectionReason.QUEUED_TOO_LONG))
        while (queued := lane.pop_starving(now_us)) is not None:
            del self._queued[queued.id]
            decisions.append(self._reject(queued.id, RejectionReason.OUTRANKED))
        return decisions

    # Timers and event loop lag.

    def next_timer_us(self) -> int | None:
        """Return when `on_timer` must be called next; None if no timer is pending."""
        expiries = (lane.next_expiry_us() for lane in self._lanes.values() if lane.queued)
        return min((expiry for expiry in expiries if expiry is not None), default=None)

    def on_timer(self, now_us: int) -> list[Decision]:
        """Reject expired queued requests, and admit from the queues of lanes with capacity."""
        decisions: list[Decision] = []
        for lane in self._lanes.values():
            if not lane.queued:
                continue
            lane.expire_observations(now_us)
            decisions += self._admit_queued(now_us, lane)
        return decisions

    def on_loop_lag(self, now_us: int, lag_us: int) -> None:
        """Record the event loop lag.

        Requests in flight that the loop cannot process in time wait as in a queue, and only a lower number in
        flight shortens that wait. The process limit therefore adapts to the largest lag of each window.
        """
        self.process_limit.on_loop_lag(now_us, lag_us, len(self._in_flight))

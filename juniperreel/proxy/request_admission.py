"""Submits requests to the admission controller, and carries out its decisions.

Owns the requests that wait for admission.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.admission import Admission, AdmissionController, Arrival, Decision, Rejection
from juniperreel.net import Clock
from juniperreel.proxy.open_requests import OpenRequest
from juniperreel.proxy.requests import Rejected
from juniperreel.telemetry.metrics import Metrics


class RequestAdmission:
    """Requests that wait for one admission controller, by id in `waiting`.

    `on_admitted` is called with each request that the controller admits, `on_decisions` after each batch of
    decisions, when the controller's next timer may have changed.
    """

    def __init__(
        self,
        admission_controller: AdmissionController,
        clock: Clock,
        metrics: Metrics,
        answer_margin_us: int,
        on_admitted: Callable[[OpenRequest], None],
        on_decisions: Callable[[], None],
    ) -> None:
        self._controller = admission_controller
        self._clock = clock
        self._metrics = metrics
        self._answer_margin_us = answer_margin_us
        self._on_admitted = on_admitted
        self._on_decisions = on_decisions
        self.waiting: dict[str, OpenRequest] = {}

    def submit(self, open_request: OpenRequest) -> None:
        """Submit a request to the controller, which admits it, rejects it or leaves it waiting."""
        now = self._clock.now_us()
        request = open_request.request
        self.waiting[request.id] = open_request
        arrival = Arrival(
            request.id,
            request.class_index,
            request.tenant_index,
            request.group,
            request.received_us or now,
            request.deadline_us - self._answer_margin_us,
            request.is_retry,
        )
        self._apply(self._controller.on_arrival(now, arrival))

    def check(self, class_index: int, tenant_index: int, group: int, deadline_us: int) -> Rejected | None:
        """Return the rejection that a request arriving now would get, None if it would not be rejected.

        Front ends call this before they spend work on parsing the request.
        """
        now = self._clock.now_us()
        remaining_us = deadline_us - self._answer_margin_us - now
        rejection = self._controller.reject_early(now, class_index, tenant_index, group, remaining_us)
        if rejection is None:
            return None
        self._metrics.rejection(rejection.reason).inc()
        return Rejected(rejection.reason, rejection.retry_after_us, local=True)

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting request whose client disconnected. Returns False if it is not waiting."""
        if self.waiting.pop(request_id, None) is None:
            return False
        self._apply(self._controller.on_client_disconnected(self._clock.now_us(), request_id))
        return True

    def request_ended(self, open_request: OpenRequest) -> None:
        """Report the end of an admitted request, which may admit waiting ones."""
        service_time_us = open_request.service_time_us()
        lost = open_request.was_lost_to_congestion()
        self._apply(
            self._controller.on_finished(self._clock.now_us(), open_request.id, service_time_us, lost)
        )

    def process_due(self, now_us: int) -> None:
        """Advance the controller's timers, and carry out the resulting decisions."""
        self._apply(self._controller.on_timer(now_us))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            open_request = self.waiting.pop(decision.request, None)
            match decision:
                case Admission(request_id):
                    self._admit(request_id, open_request)
                case Rejection(_, reason, retry_after_us):
                    self._metrics.rejection(reason).inc()
                    if open_request is not None:
                        open_request.set_answer(Rejected(reason, retry_after_us, local=True))
        if decisions:
            self._on_decisions()

    def _admit(self, request_id: str, open_request: OpenRequest | None) -> None:
        if open_request is not None:
            self._on_admitted(open_request)
        else:  # its client has disconnected: free the slot for the next request
            self._apply(self._controller.on_finished(self._clock.now_us(), request_id, None))

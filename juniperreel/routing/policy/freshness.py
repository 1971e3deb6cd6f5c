"""Freshness: the log position a read requires, and the endpoints known to have applied it."""

from dataclasses import dataclass

from juniperreel.routing.endpoint_state import DISTANT_PAST_US, EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import RequestState, RouterState
from juniperreel.routing.types import Consistency


@dataclass(slots=True)
class Freshness:
    """Computes required positions. Known positions of endpoints are lower bounds and never decrease."""

    state: RouterState

    def is_fresh_enough(self, request: RequestState, endpoint: EndpointState, slack_us: int = 0) -> bool:
        """Safety rule 5: the endpoint has applied what the read requires, as of the time of sending."""
        required_us = request.required_position_us
        if request.consistency is Consistency.BOUNDED:
            required_us = self.state.now_us - request.request_class.max_staleness_us
        return endpoint.position_us + slack_us >= required_us

    def update_required_position(self, request: RequestState) -> None:
        """Raise a session read's required position to the latest known commit of its session."""
        # A write in flight may have been executed and its response lost: then only the primary surely has it.
        if request.consistency is not Consistency.SESSION:
            return
        settings = self.state.settings
        if settings.requests_carry_session_age:
            age_us = request.request.session_age_us
            request.required_position_us = DISTANT_PAST_US if age_us is None else request.received_us - age_us
            return
        known_us = self.state.session_commit_us(request)
        request.required_position_us = max(request.required_position_us, known_us)
        sent_us = [write.sent_us for write in self.state.writes_in_flight(request)]
        received_us = min(sent_us, default=self.state.now_us) + parameters.RESPONSE_TRANSIT_US
        if settings.responses_may_be_lost and self.state.now_us > received_us:
            request.required_position_us = self.state.now_us
            request.primary_required = True  # no health check can show a replica this fresh

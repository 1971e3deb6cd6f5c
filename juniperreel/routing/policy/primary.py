"""Tracks the primary of each group and searches for it when it is unknown."""

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.endpoint_list import EndpointTracker
from juniperreel.routing.policy.outlier import OutlierDetector
from juniperreel.routing.state import GroupState, RouterState
from juniperreel.routing.types import LoadReport, Role


class PrimaryTracker:
    """Maintains each group's primary: the endpoint last observed in that role."""

    def __init__(self, state: RouterState, endpoints: EndpointTracker, outliers: OutlierDetector) -> None:
        self.state = state
        self.endpoints = endpoints
        self.outliers = outliers
        intervals = state.random.uniform(*parameters.PRIMARY_SEARCH_INTERVALS)
        self._search_interval_us = int(parameters.CHECK_INTERVAL_US * intervals)

    def serving_primary(self, group: GroupState, for_read: bool) -> EndpointState | None:
        """Return the primary if it may receive an attempt now."""
        # Until a primary is observed, writes go to the listed one; else hundreds of routers would search.
        primary = group.primary
        listed = group.listed_primary
        if primary is None and not for_read and listed is not None and listed.role is Role.UNKNOWN:
            primary = listed
        if primary is None or not self.outliers.accepts_attempt(primary):
            return None
        return primary if self.endpoints.may_receive(primary, group) else None

    def observe_response(self, endpoint: EndpointState, role: Role) -> None:
        """Record the role named in a response, even in a truncated one."""
        if role is not Role.UNKNOWN:
            self.observe_role(endpoint, role)
            endpoint.role_observed_us = self.state.now_us

    def observe_report(self, endpoint: EndpointState, report: LoadReport) -> None:
        """Record the role in a load report, which may be outdated, unless a recent response named one."""
        age_us = self.state.now_us - endpoint.role_observed_us
        if report.is_primary is not None and age_us > parameters.ROLE_RESPONSE_TTL_US:
            self.observe_role(endpoint, Role.PRIMARY if report.is_primary else Role.REPLICA)

    def observe_role(self, endpoint: EndpointState, role: Role) -> None:
        """Set the endpoint's role and update the group's primary."""
        group = self.state.group_with(endpoint)
        endpoint.role = role
        if role is Role.PRIMARY and group.primary is not endpoint:
            if group.primary is not None or group.queued:
                self.state.log("primary changed", group=endpoint.info.group, endpoint=endpoint.info.id)
            group.primary = endpoint
        elif role is Role.REPLICA and group.primary is endpoint:
            group.primary = None
            self.state.log("primary stepped down", group=endpoint.info.group)

    def search(self, group: GroupState) -> None:
        """Find the primary by health-checking all endpoints, where health checks are allowed."""
        for endpoint in group.endpoints if self.state.settings.health_checks else ():
            due = self.state.now_us - endpoint.checked_us > self._search_interval_us
            if due and self.endpoints.may_receive(endpoint, group):
                self.state.start_health_check(endpoint)

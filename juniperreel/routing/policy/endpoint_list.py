"""The endpoint list: discovery updates, poll times, and which endpoints may receive new requests."""

from dataclasses import replace

from juniperreel.routing.endpoint_state import DISTANT_FUTURE_US, EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import GroupState, RouterState
from juniperreel.routing.types import Endpoint, EndpointUpdate, Readiness, Subscribe, UpdateKind


class EndpointTracker:
    """Maintains the endpoint table and schedules the next poll."""

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.next_poll_us = DISTANT_FUTURE_US
        self._updates_missed = False  # a discovery call failed since the last update

    def may_receive(self, endpoint: EndpointState, group: GroupState) -> bool:
        """Safety rule 3: draining and removed endpoints receive no new requests."""
        # A draining primary accepts requests for half of the drain grace; then its successor must be found.
        readiness = endpoint.info.readiness
        if readiness is Readiness.DRAINING:
            draining_us = self.state.now_us - endpoint.readiness_changed_us
            return endpoint is group.primary and draining_us < self.state.settings.drain_grace_us // 2
        removed_may = self.state.settings.removed_endpoints_serve and not endpoint.was_draining
        return readiness is Readiness.READY or removed_may

    def poll_if_due(self) -> None:
        """Request the endpoint list if a poll is due."""
        if self.state.now_us >= self.next_poll_us:
            self.next_poll_us = DISTANT_FUTURE_US
            self.state.emit(Subscribe(True))

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply an update, or schedule the next call after a failed one."""
        state = self.state
        jitter_us = int(state.random.uniform(0, parameters.POLL_JITTER_US * state.settings.router_count))
        if update.kind in (UpdateKind.TIMED_OUT, UpdateKind.FAILED):
            self._updates_missed = True
        if update.kind is UpdateKind.TIMED_OUT:
            # Updates missed by a silent watch take effect seconds after it went silent, and most of that time
            # has passed, so it is reopened at once. Discovery did not reject the call, and watches opened at
            # different times also time out at different times, so no jitter is needed.
            state.emit(Subscribe(True))
            return
        if update.kind is UpdateKind.FAILED:
            self.next_poll_us = state.now_us + self._retry_pause_us(jitter_us)
            return
        if update.kind is UpdateKind.CACHED and state.settings.must_poll:
            self.next_poll_us = state.now_us + min(jitter_us, self._retry_pause_us(jitter_us))
        for info in update.endpoints:
            self.update_endpoint(info)
        if update.kind is not UpdateKind.DELTA:
            for endpoint in state.unlisted_endpoints(update.endpoints):
                self.update_endpoint(replace(endpoint.info, readiness=Readiness.REMOVED))
        self._updates_missed = False
        if not state.settings.removed_endpoints_serve:
            # Without this, the table would grow for as long as endpoints are replaced.
            state.forget_removed_endpoints(parameters.REMOVED_ENDPOINT_TTL_US)
        state.rebuild_groups(include_removed=state.settings.removed_endpoints_serve)

    def _retry_pause_us(self, jitter_us: int) -> int:
        """The pause between a failed discovery call and the next one."""
        # A large fleet that retries all at once is rejected again; one that waits too long sends to draining
        # endpoints. Updates take effect soon after discovery has them, and immediately where they are pushed.
        settings = self.state.settings
        longest_us = parameters.MAX_POLL_RETRY_US if settings.must_poll else settings.drain_grace_us // 2
        shortest_us = min(parameters.POLL_RETRY_US, longest_us // 2)
        whole_spread_us = 2 * parameters.POLL_JITTER_US * settings.router_count
        spread_us = min(whole_spread_us, longest_us - shortest_us)
        return shortest_us + 2 * jitter_us * spread_us // whole_spread_us

    def update_endpoint(self, info: Endpoint) -> None:
        """Apply one entry of the endpoint list."""
        state = self.state
        endpoint = state.endpoints.get(info.id)
        was_draining = endpoint is not None and endpoint.info.readiness is Readiness.DRAINING
        if endpoint is None:
            endpoint = state.add_endpoint(info, self._initial_srtt_us(), state.random.random())
        elif endpoint.update(info, state.now_us):
            endpoint.restart(state.now_us, self._initial_srtt_us(), state.random.random())
        if self._updates_missed and info.readiness is Readiness.DRAINING and not was_draining:
            endpoint.readiness_changed_us = state.now_us - state.settings.drain_grace_us  # earliest time
        if info.listed_primary and state.settings.list_names_primary:
            state.group(info.group).listed_primary = endpoint

    def _initial_srtt_us(self) -> float:
        return self.state.random.uniform(*parameters.INITIAL_SRTT_US)

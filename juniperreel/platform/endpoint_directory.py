"""Directory of known endpoints: their groups, readiness and pool addresses."""

from __future__ import annotations

from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.endpoint_pools import EndpointPools
from juniperreel.routing.types import Readiness

MAX_WITHDRAWN = 10_000  # draining or removed endpoints whose time of withdrawal is kept


class EndpointDirectory:
    """Applies endpoint lists to the pools. Owns the set of listed endpoints."""

    def __init__(self, pools: EndpointPools, removed_serve: bool) -> None:
        """`removed_serve`: endpoints that left the list may still serve new requests."""
        self._pools = pools
        self._removed_serve = removed_serve
        self._groups: set[int] = set()
        self._listed: set[str] = set()
        self._withdrawn_us: dict[str, int] = {}  # when each endpoint was learned to be draining or gone

    def has_group(self, group: int) -> bool:
        """Return whether an endpoint of the group was ever listed."""
        return group in self._groups

    def apply(self, endpoint_list: EndpointList) -> None:
        """Set the addresses of listed endpoints and retire the pools of removed ones."""
        for endpoint in endpoint_list.endpoints:
            self._groups.add(endpoint.group)
            self._listed.add(endpoint.id)
            address = endpoint_list.addresses.get(endpoint.id)
            self._record_readiness(endpoint.id, endpoint.readiness)
            if endpoint.readiness is Readiness.REMOVED:
                self._pools.retire(endpoint.id)
            elif address is not None:
                is_draining = endpoint.readiness is Readiness.DRAINING
                self._pools.set_address(endpoint.id, address, is_draining)
        if endpoint_list.complete:
            self._retire_unlisted({endpoint.id for endpoint in endpoint_list.endpoints})

    def withdrawn_since_us(self, endpoint: str) -> int | None:
        """Return when the driver learned that the endpoint is draining or gone, or None."""
        return self._withdrawn_us.get(endpoint)

    def _record_readiness(self, endpoint: str, readiness: Readiness) -> None:
        if readiness is Readiness.READY:
            self._withdrawn_us.pop(endpoint, None)
        elif readiness is Readiness.DRAINING or not self._removed_serve:
            self._withdrawn_us.setdefault(endpoint, self._pools.now())
            self._evict_oldest_withdrawn()

    def _evict_oldest_withdrawn(self) -> None:
        while len(self._withdrawn_us) > MAX_WITHDRAWN:
            del self._withdrawn_us[next(iter(self._withdrawn_us))]

    def _retire_unlisted(self, still_listed: set[str]) -> None:
        for name in self._listed - still_listed:
            self._listed.discard(name)
            self._record_readiness(name, Readiness.REMOVED)
            self._pools.retire(name)

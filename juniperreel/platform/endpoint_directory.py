"""The endpoints that the driver knows of: their groups, and the addresses that their pools use."""

from __future__ import annotations

from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.endpoint_pools import EndpointPools
from juniperreel.routing.types import Readiness


class EndpointDirectory:
    """Applies endpoint lists to the pools. Owns the set of listed endpoints."""

    def __init__(self, pools: EndpointPools) -> None:
        """Start without endpoints."""
        self._pools = pools
        self._groups: set[int] = set()
        self._listed: set[str] = set()

    def has_group(self, group: int) -> bool:
        """Return whether an endpoint of the group was ever listed."""
        return group in self._groups

    def apply(self, endpoint_list: EndpointList) -> None:
        """Set the addresses of listed endpoints, and retire the pools of those that are gone."""
        for endpoint in endpoint_list.endpoints:
            self._groups.add(endpoint.group)
            self._listed.add(endpoint.id)
            address = endpoint_list.addresses.get(endpoint.id)
            if endpoint.readiness is Readiness.REMOVED:
                self._pools.retire(endpoint.id)
            elif address is not None:
                self._pools.set_address(endpoint.id, address)
        if endpoint_list.complete:
            self._retire_unlisted({endpoint.id for endpoint in endpoint_list.endpoints})

    def _retire_unlisted(self, still_listed: set[str]) -> None:
        for name in self._listed - still_listed:
            self._listed.discard(name)
            self._pools.retire(name)

"""Tracks all known endpoints, their groups, and their removal from the endpoint list. Performs no I/O."""

from __future__ import annotations

from collections import Counter

from juniperreel.proxy.attempts import EndpointConnections
from juniperreel.proxy.open_requests import EndpointListUpdated
from juniperreel.routing.types import Readiness, UpdateKind


class EndpointRegistry:
    """All endpoints that were ever listed.

    Removed endpoints are kept, since actions of the router may still refer to them.
    """

    def __init__(self) -> None:
        self._groups: dict[str, int] = {}
        self._removed: set[str] = set()

    def group_of(self, endpoint: str) -> int:
        """Return the endpoint's group, 0 if the endpoint is unknown."""
        return self._groups.get(endpoint, 0)

    def group_sizes(self) -> Counter[int]:
        """Return the number of endpoints of each group, without removed ones."""
        return Counter(group for endpoint, group in self._groups.items() if endpoint not in self._removed)

    @property
    def listed_count(self) -> int:
        """The number of listed endpoints of any readiness."""
        return len(self._groups) - len(self._removed)

    @property
    def removed_count(self) -> int:
        """The number of endpoints that were removed and are not listed again."""
        return len(self._removed)

    def apply(self, update: EndpointListUpdated, connections: EndpointConnections) -> None:
        """Apply an update to the registry and to the addresses of `connections`."""
        listed_ids = set()
        for endpoint in update.endpoints:
            listed_ids.add(endpoint.id)
            self._groups[endpoint.id] = endpoint.group
            if endpoint.readiness == Readiness.REMOVED.value:
                self._remove(endpoint.id, connections)
            else:
                self._removed.discard(endpoint.id)
                connections.set_address(endpoint.id, endpoint.address, endpoint.port)
        if update.kind is UpdateKind.SNAPSHOT:
            for endpoint_id in self._groups.keys() - listed_ids - self._removed:
                self._remove(endpoint_id, connections)

    def _remove(self, endpoint_id: str, connections: EndpointConnections) -> None:
        self._removed.add(endpoint_id)
        connections.remove(endpoint_id)

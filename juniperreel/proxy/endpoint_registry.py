"""Which endpoints are known, of which group, and which of them have left the endpoint list. No I/O."""

from __future__ import annotations

from collections import Counter

from juniperreel.proxy.attempts import EndpointConnections
from juniperreel.proxy.open_requests import EndpointListUpdated
from juniperreel.routing.types import Readiness, UpdateKind


class EndpointRegistry:
    """All endpoints that were ever listed. Removed ones stay known, since the router may still name them."""

    def __init__(self) -> None:
        self._groups: dict[str, int] = {}
        self._removed: set[str] = set()

    def group_of(self, endpoint: str) -> int:
        """The endpoint's group, 0 where it is not known."""
        return self._groups.get(endpoint, 0)

    def group_sizes(self) -> Counter[int]:
        """How many endpoints each group has, without removed ones."""
        return Counter(group for endpoint, group in self._groups.items() if endpoint not in self._removed)

    @property
    def listed_count(self) -> int:
        """How many endpoints are listed, in whatever readiness."""
        return len(self._groups) - len(self._removed)

    @property
    def removed_count(self) -> int:
        """How many endpoints have left the list and not come back."""
        return len(self._removed)

    def apply(self, update: EndpointListUpdated, connections: EndpointConnections) -> None:
        """Record an update, and set or remove the addresses of `connections` accordingly."""
        named = set()
        for endpoint in update.endpoints:
            named.add(endpoint.id)
            self._groups[endpoint.id] = endpoint.group
            if endpoint.readiness == Readiness.REMOVED.value:
                self._remove(endpoint.id, connections)
            else:
                self._removed.discard(endpoint.id)
                connections.set_address(endpoint.id, endpoint.address, endpoint.port)
        if update.kind is UpdateKind.SNAPSHOT:
            for endpoint_id in self._groups.keys() - named - self._removed:
                self._remove(endpoint_id, connections)

    def _remove(self, endpoint_id: str, connections: EndpointConnections) -> None:
        self._removed.add(endpoint_id)
        connections.remove(endpoint_id)

"""The limit of open descriptors, divided between clients and endpoints. Free of I/O.

The operators give each driver a number of sockets. Clients get a part of it and endpoints the rest, so that a
request that was accepted can always reach an endpoint.
"""

from __future__ import annotations

RESERVED_DESCRIPTORS = 24  # standard streams, polls, listener, discovery, and the interpreter's own
CLIENT_FRACTION = 0.6  # of what is not reserved
# Of the whole limit. The operators' front opens a third of it at most to clients that send requests, and
# rejects whoever comes when those are in use.
ACTIVE_CLIENT_FRACTION = 0.25


class DescriptorBudget:
    """Counts connections against their limits. Whoever opens or closes one keeps the counts."""

    def __init__(self, total: int) -> None:
        """Divide `total` descriptors."""
        usable = max(total - RESERVED_DESCRIPTORS, 16)
        self.client_limit = max(int(usable * CLIENT_FRACTION), 8)
        self.endpoint_limit = max(usable - self.client_limit, 8)
        self.active_client_limit = max(int(total * ACTIVE_CLIENT_FRACTION), 8)
        self.clients = 0
        self.closing_clients = 0  # of the clients, those whose connections this side is closing
        self.active_clients = 0  # of the clients, those that have sent a command, closing ones left out
        self.endpoint_connections = 0

    @property
    def too_many_active_clients(self) -> bool:
        """More clients that have sent a command stay connected than should."""
        return self.active_clients > self.active_client_limit

    @property
    def clients_full(self) -> bool:
        """No descriptor is free for another client."""
        return self.clients >= self.client_limit

    @property
    def clients_nearly_full(self) -> bool:
        """Three quarters of the clients' descriptors are in use, by clients that are not being closed."""
        return (self.clients - self.closing_clients) * 4 >= self.client_limit * 3

    @property
    def endpoints_full(self) -> bool:
        """No descriptor is free for another connection to an endpoint."""
        return self.endpoint_connections >= self.endpoint_limit

"""Divides the limit of open descriptors between clients and endpoints. Performs no I/O.

Each driver is configured with a number of sockets. Clients and endpoint connections have separate shares, so
that an accepted request can always reach an endpoint.
"""

from __future__ import annotations

RESERVED_DESCRIPTORS = 24  # standard streams, polls, listener, discovery, and the interpreter's own
CLIENT_FRACTION = 0.6  # of the descriptors that are not reserved
# Of the whole limit. The platform's front end opens at most a third of it for clients that send requests, and
# rejects new clients while those connections are in use.
ACTIVE_CLIENT_FRACTION = 0.25


class DescriptorBudget:
    """Connection counts and their limits. Callers that open or close connections update the counts."""

    def __init__(self, total: int) -> None:
        """Divide `total` descriptors."""
        usable = max(total - RESERVED_DESCRIPTORS, 16)
        self.client_limit = max(int(usable * CLIENT_FRACTION), 8)
        self.endpoint_limit = max(usable - self.client_limit, 8)
        self.active_client_limit = max(int(total * ACTIVE_CLIENT_FRACTION), 8)
        self.clients = 0
        self.closing_clients = 0  # clients whose connections this side is closing
        self.active_clients = 0  # clients that have sent a command, excluding closing ones
        self.endpoint_connections = 0

    @property
    def too_many_active_clients(self) -> bool:
        """Whether the clients that have sent a command exceed their limit."""
        return self.active_clients > self.active_client_limit

    @property
    def clients_full(self) -> bool:
        """Whether no descriptor is free for another client."""
        return self.clients >= self.client_limit

    @property
    def clients_nearly_full(self) -> bool:
        """Whether clients that are not being closed use three quarters of the client limit or more."""
        return (self.clients - self.closing_clients) * 4 >= self.client_limit * 3

    @property
    def endpoints_full(self) -> bool:
        """Whether no descriptor is free for another endpoint connection."""
        return self.endpoint_connections >= self.endpoint_limit

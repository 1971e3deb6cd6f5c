"""Descriptors: who may have one. A guard, not a routing decision; free of I/O.

The operators give each driver a number. Members are served first: a request that was taken must reach one.
"""

from __future__ import annotations

RESERVE = 24  # standard streams, polls, listener, discovery, and what the interpreter opens for itself
CLIENT_PART = 0.6  # of the rest
REQUEST_PART = 0.25  # of all: clients that ask hold a third at most, and whoever comes then finds no way in


class DescriptorBudget:
    def __init__(self, total: int) -> None:
        usable = max(total - RESERVE, 16)
        self.client_limit = max(int(usable * CLIENT_PART), 8)
        self.member_limit = max(usable - self.client_limit, 8)
        self.asking_limit = max(int(total * REQUEST_PART), 8)
        self.clients = self.members = 0
        self.ending = 0  # of the clients, those whose connections we end
        self.asking = 0  # clients that have asked at least once

    @property
    def asking_full(self) -> bool:
        return self.asking > self.asking_limit

    @property
    def clients_full(self) -> bool:
        return self.clients >= self.client_limit

    @property
    def clients_tight(self) -> bool:
        return (self.clients - self.ending) * 4 >= self.client_limit * 3

    @property
    def members_full(self) -> bool:
        return self.members >= self.member_limit

"""Fair queue of requests that wait for a connection. No I/O, no clock.

Tenants are served by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each tenant has a virtual
time that advances by the inverse of its share with every grant, and the tenant with the lowest one is served
next. Within a tenant, requests are ordered by priority weight, then by how long they have waited, including
earlier waits of the same request.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from juniperreel.pool.types import AcquireRequest

MIN_SHARE = 1e-6  # a tenant with a share of 0 is still served, after all others
DEFAULT_SHARE = 1.0


@dataclass(eq=False, slots=True)
class Waiter:
    """A queued request. `arrival` is a sequence number."""

    request: AcquireRequest
    arrival: int
    deadline_us: int
    waiting_since_us: int

    @property
    def order(self) -> tuple[float, int, int]:
        """The sort key within a tenant; the lowest is served first."""
        return -self.request.priority_weight, self.waiting_since_us, self.arrival


@dataclass(slots=True)
class TenantQueue:
    """The waiters of a tenant and its virtual time."""

    virtual_time: float = 0.0
    waiters: list[Waiter] = field(default_factory=list)


def _order(waiter: Waiter) -> tuple[float, int, int]:
    return waiter.order


class FairWaitQueue:
    """The waiters of a pool. The owner enforces the limit on their number, using `evict_for`."""

    def __init__(self, shares: tuple[float, ...]) -> None:
        self._shares = shares
        self._tenants: dict[int, TenantQueue] = {}
        self._length = 0
        self._arrivals = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return self._length

    def deadlines_us(self) -> list[int]:
        """Return the deadlines of all waiters, in no particular order."""
        return [waiter.deadline_us for tenant in self._tenants.values() for waiter in tenant.waiters]

    def add(self, now_us: int, request: AcquireRequest, deadline_us: int) -> None:
        """Queue a request; it expires at `deadline_us`."""
        tenant = self._tenants.setdefault(request.tenant, TenantQueue())
        if not tenant.waiters:
            # An idle tenant does not accumulate credit for the time without requests.
            tenant.virtual_time = max(tenant.virtual_time, self._virtual_time)
        self._arrivals += 1
        since_us = now_us if request.waiting_since_us is None else request.waiting_since_us
        tenant.waiters.append(Waiter(request, self._arrivals, deadline_us, since_us))
        self._length += 1

    def put_back(self, waiter: Waiter) -> None:
        """Requeue a waiter returned by `pop`; it keeps its position."""
        self._tenants[waiter.request.tenant].waiters.append(waiter)
        self._length += 1

    def cancel(self, request_id: Hashable) -> None:
        """Remove a request, if it is still queued."""
        for tenant in self._tenants.values():
            for waiter in [w for w in tenant.waiters if w.request.id == request_id]:
                self._remove(tenant, waiter)

    def evict_for(self, tenant_number: int) -> Waiter | None:
        """Remove a waiter of the tenant that most exceeds its share of the queue, to make room.

        Returns None if no tenant exceeds its share by more than `tenant_number` would itself. Danger: without
        eviction, a tenant that requests ten times its share fills the queue, and all others are rejected.
        """
        queues = {number: tenant for number, tenant in self._tenants.items() if tenant.waiters}
        if not queues:
            return None

        def occupancy(number: int) -> float:
            """Return the waiters per unit of share, including the request to be added."""
            waiting = len(queues[number].waiters) if number in queues else 0
            return (waiting + (number == tenant_number)) / self._share(number)

        largest = max(queues, key=occupancy)
        if largest == tenant_number or occupancy(largest) <= occupancy(tenant_number):
            return None
        tenant = queues[largest]
        evicted = max(tenant.waiters, key=_order)
        self._remove(tenant, evicted)
        return evicted

    def pop(self, now_us: int) -> Waiter | None:
        """Remove and return the next waiter, ignoring those past their deadline."""
        candidates = [
            (tenant.virtual_time, number)
            for number, tenant in self._tenants.items()
            if any(self._is_servable(waiter, now_us) for waiter in tenant.waiters)
        ]
        if not candidates:
            return None
        _, number = min(candidates)
        tenant = self._tenants[number]
        waiter = min(
            (waiter for waiter in tenant.waiters if self._is_servable(waiter, now_us)),
            key=_order,
        )
        self._remove(tenant, waiter)
        return waiter

    def charge(self, tenant_number: int) -> None:
        """Account for a connection granted to a tenant, whether or not it waited."""
        tenant = self._tenants.setdefault(tenant_number, TenantQueue())
        start = max(tenant.virtual_time, self._virtual_time)
        tenant.virtual_time = start + 1 / self._share(tenant_number)
        self._virtual_time = start

    def expire(self, now_us: int) -> list[Waiter]:
        """Remove and return all waiters past their deadline."""
        expired = []
        for tenant in self._tenants.values():
            overdue = [waiter for waiter in tenant.waiters if now_us >= waiter.deadline_us]
            for waiter in overdue:
                self._remove(tenant, waiter)
            expired += overdue
        return expired

    def clear(self) -> list[Waiter]:
        """Remove and return all waiters."""
        removed = []
        for tenant in self._tenants.values():
            removed += tenant.waiters
            tenant.waiters = []
        self._length = 0
        return removed

    @staticmethod
    def _is_servable(waiter: Waiter, now_us: int) -> bool:
        return now_us < waiter.deadline_us

    def _share(self, tenant_number: int) -> float:
        if 0 <= tenant_number < len(self._shares):
            return max(self._shares[tenant_number], MIN_SHARE)
        return DEFAULT_SHARE

    def _remove(self, tenant: TenantQueue, waiter: Waiter) -> None:
        tenant.waiters.remove(waiter)
        self._length -= 1

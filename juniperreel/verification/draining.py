"""Rule 3: no new work for a draining endpoint after the drain grace has expired."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from juniperreel.verification.history import CROSS_SOCKET_TOLERANCE_US, EdgeListing, History, Violation
from juniperreel.verification.records import READY, AttemptReceived, EndpointListed, StatementReceived

RULE = 3


def check_draining(history: History) -> list[Violation]:
    """Find attempts and statements sent after the drain grace, counted from the notification of the edge."""
    found: list[Violation] = []
    grace_us = history.limits.drain_grace_us if history.limits else 0
    batches: list[Sequence[AttemptReceived | StatementReceived]] = [
        *history.attempts.values(),
        history.statements,
    ]
    for batch in batches:
        for received in batch:
            listings = history.listings.get(EdgeListing(received.edge, received.endpoint), [])
            notified_at = _not_ready_since(listings, received.at)
            if notified_at is None or received.at <= notified_at + grace_us + CROSS_SOCKET_TOLERANCE_US:
                continue
            late_s = (received.at - notified_at) / 1e6
            text = f"{received.edge} sent to {received.endpoint} {late_s:.2f} s after the notice"
            found.append(Violation(RULE, text, received))
    return found


def _not_ready_since(listings: list[EndpointListed], at: int) -> int | None:
    """When the edge was notified that the endpoint is not ready; None if its last update says ready."""
    seen = bisect_right([listing.at for listing in listings], at)
    since: int | None = None
    for listing in listings[:seen]:
        if listing.readiness == READY:
            since = None
        elif since is None:
            since = listing.at
    return since

"""Compares the tenants of a lane with their capacity shares, using exponentially decaying counts.

Counts decay with each admitted request, and return to the tenants' shares as time passes: on an edge with
little traffic, a tenant would otherwise rank behind all others for a burst of hours ago.
"""

from __future__ import annotations

import math
from enum import IntEnum

QUOTA_DECAY = 0.998  # weight of the previous counts, per admitted request
QUOTA_MEMORY_US = 60_000_000  # time constant of the return to the shares
# Standard deviations by which a tenant may exceed its share before it counts as over quota: random variation
# rarely exceeds 3.
QUOTA_TOLERANCE_DEVIATIONS = 3


class QuotaStatus(IntEnum):
    """Demand and usage of a tenant relative to its share; higher values are served first."""

    OVER_QUOTA = 0  # demand and usage both exceed its share
    UNDERSERVED = 1  # demand exceeds its share, usage does not
    WITHIN_QUOTA = 2  # demand does not exceed its share; its requests should not be rejected


class TenantQuotas:
    """Decaying counts of arrived and admitted requests per tenant.

    A tenant index outside the configured range denotes a request without a tenant, which has no share and is
    always over quota.
    """

    def __init__(self, shares: tuple[float, ...]) -> None:
        """`shares` are the tenants' capacity shares, in the order of the settings."""
        self._shares = shares
        self._admitted = list(shares)
        self._admitted_total = sum(shares)
        self._arrived = list(shares)  # on the same scale as `_admitted`
        self._updated_us: int | None = None

    def on_arrival(self, now_us: int, tenant_index: int) -> None:
        """Count an arrival, admitted or not."""
        self._return_to_shares(now_us)
        if 0 <= tenant_index < len(self._arrived):
            self._arrived[tenant_index] += 1 - QUOTA_DECAY

    def on_admission(self, tenant_index: int) -> None:
        """Count an admitted request, and decay the previous counts."""
        if not 0 <= tenant_index < len(self._admitted):
            return
        self._admitted = [QUOTA_DECAY * count for count in self._admitted]
        self._arrived = [QUOTA_DECAY * count for count in self._arrived]
        self._admitted[tenant_index] += 1 - QUOTA_DECAY
        self._admitted_total = sum(self._admitted)

    def _return_to_shares(self, now_us: int) -> None:
        previous_us = now_us if self._updated_us is None else self._updated_us
        self._updated_us = now_us
        weight = math.exp(-max(now_us - previous_us, 0) / QUOTA_MEMORY_US)
        self._admitted = self._moved_to_shares(self._admitted, weight)
        self._arrived = self._moved_to_shares(self._arrived, weight)
        self._admitted_total = sum(self._admitted)

    def _moved_to_shares(self, counts: list[float], weight: float) -> list[float]:
        """Return the counts with this weight on their differences from the shares."""
        return [
            share + weight * (tenant_count - share)
            for share, tenant_count in zip(self._shares, counts, strict=True)
        ]

    def status(self, tenant_index: int) -> QuotaStatus:
        """Return the tenant's demand and usage relative to its share.

        Usage alone is not sufficient: a tenant with excessive demand that only gets spare capacity would rank
        with the tenants that stay within their shares, and would take capacity from them.
        """
        if not 0 <= tenant_index < len(self._shares):
            return QuotaStatus.OVER_QUOTA
        quota = self._shares[tenant_index] * self._admitted_total
        # Standard deviation of an exponentially decaying mean of random arrivals at this rate.
        quota += QUOTA_TOLERANCE_DEVIATIONS * math.sqrt(quota * (1 - QUOTA_DECAY) / 2)
        if self._arrived[tenant_index] <= quota:
            return QuotaStatus.WITHIN_QUOTA
        if self._admitted[tenant_index] <= quota:
            return QuotaStatus.UNDERSERVED
        return QuotaStatus.OVER_QUOTA

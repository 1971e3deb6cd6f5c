"""How the tenants of one lane stand against their capacity shares, by decaying counts."""

from __future__ import annotations

import math
from enum import IntEnum

SHARE_MEMORY = 0.998  # weight of the old counts, at each admitted request
# By how many standard deviations a tenant may exceed its share before it counts as over it: chance alone
# hardly ever lifts a tenant that far.
SHARE_DEVIATIONS = 3


class QuotaStanding(IntEnum):
    """What a tenant asks and was given relative to its share; the higher go first."""

    OVER_QUOTA = 0  # it asks for more than its share, and has been given that
    UNDERSERVED = 1  # it asks for more than its share, and has not been given that yet
    WITHIN_QUOTA = 2  # it asks for no more than its share, and should lose nothing


class TenantQuotas:
    """Decaying counts, per tenant, of the requests that arrived and of those that were admitted.

    A tenant index outside the configured tenants stands for a request without a tenant: it has no share and
    is always over quota.
    """

    def __init__(self, shares: tuple[float, ...]) -> None:
        """`shares` are the tenants' capacity shares, in the order of the settings."""
        self._shares = shares
        self._admitted = list(shares)
        self._admitted_total = sum(shares)
        self._arrived = list(shares)  # on the same scale as `_admitted`

    def on_arrival(self, tenant_index: int) -> None:
        """Count an arrival, admitted or not."""
        if 0 <= tenant_index < len(self._arrived):
            self._arrived[tenant_index] += 1 - SHARE_MEMORY

    def on_admission(self, tenant_index: int) -> None:
        """Count an admitted request, and let the older counts decay."""
        if not 0 <= tenant_index < len(self._admitted):
            return
        self._admitted = [SHARE_MEMORY * count for count in self._admitted]
        self._arrived = [SHARE_MEMORY * count for count in self._arrived]
        self._admitted[tenant_index] += 1 - SHARE_MEMORY
        self._admitted_total = sum(self._admitted)

    def standing(self, tenant_index: int) -> QuotaStanding:
        """Return how the tenant stands against its share.

        What a tenant was given is not enough to tell: a greedy tenant that gets only what the others leave
        over would look as modest as they are, and would take capacity from them.
        """
        if not 0 <= tenant_index < len(self._shares):
            return QuotaStanding.OVER_QUOTA
        quota = self._shares[tenant_index] * self._admitted_total
        # The standard deviation of a decaying mean of random arrivals at this rate.
        quota += SHARE_DEVIATIONS * math.sqrt(quota * (1 - SHARE_MEMORY) / 2)
        if self._arrived[tenant_index] <= quota:
            return QuotaStanding.WITHIN_QUOTA
        if self._admitted[tenant_index] <= quota:
            return QuotaStanding.UNDERSERVED
        return QuotaStanding.OVER_QUOTA

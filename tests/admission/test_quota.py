"""Tenants' counts against their shares, over requests and over time."""

from __future__ import annotations

import pytest

from juniperreel.admission.quota import QuotaStatus, TenantQuotas

SECOND_US = 1_000_000
GREEDY, MODEST = 0, 1


def quotas_after_a_burst(count: int = 1000) -> TenantQuotas:
    """Return quotas after a burst in which the tenant with a tenth of the capacity used all of it."""
    quotas = TenantQuotas((0.1, 0.9))
    for _ in range(count):
        quotas.on_arrival(SECOND_US, GREEDY)
        quotas.on_admission(GREEDY)
    return quotas


def test_tenant_that_uses_all_of_the_capacity_is_over_its_quota() -> None:
    quotas = quotas_after_a_burst()
    assert quotas.status(GREEDY) is QuotaStatus.OVER_QUOTA
    assert quotas.status(MODEST) is QuotaStatus.WITHIN_QUOTA


def test_burst_is_forgotten_on_an_edge_without_traffic() -> None:
    """Counts decayed with admitted requests alone, so a burst lasted for 500 of them, over any time."""
    quotas = quotas_after_a_burst()
    quotas.on_arrival(SECOND_US + 600 * SECOND_US, GREEDY)
    assert quotas.status(GREEDY) is QuotaStatus.WITHIN_QUOTA


@pytest.mark.parametrize("rate", [2, 20, 200])
def test_steady_use_beyond_the_share_stays_over_quota_at_any_rate(rate: int) -> None:
    quotas = quotas_after_a_burst()
    for number in range(120 * rate):
        quotas.on_arrival(SECOND_US + number * SECOND_US // rate, GREEDY)
        quotas.on_admission(GREEDY)
    assert quotas.status(GREEDY) is QuotaStatus.OVER_QUOTA


def test_time_takes_nothing_from_a_tenant_within_its_share() -> None:
    quotas = TenantQuotas((0.1, 0.9))
    for number in range(2000):
        quotas.on_arrival(number * SECOND_US, GREEDY if number % 10 == 0 else MODEST)
        quotas.on_admission(GREEDY if number % 10 == 0 else MODEST)
        assert quotas.status(GREEDY) is QuotaStatus.WITHIN_QUOTA
        assert quotas.status(MODEST) is QuotaStatus.WITHIN_QUOTA

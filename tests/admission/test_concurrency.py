"""Unit tests of the concurrency limit: decreases and recovery."""

from __future__ import annotations

from juniperreel.admission.concurrency import INITIAL_LIMIT, MINIMUM_LIMIT, ConcurrencyLimit

OBJECTIVE_US = 600_000
SLOW_US = 400_000
FAST_US = 45_000


def complete_full_limit(limit: ConcurrencyLimit, now_us: int, response_time_us: int) -> None:
    """Start as many requests as the limit allows, then complete all of them."""
    in_flight = int(limit.value)
    for number in range(1, in_flight + 1):
        limit.on_start(number)
    for remaining in range(in_flight - 1, -1, -1):
        limit.on_success(now_us, response_time_us, OBJECTIVE_US, remaining, in_flight)


def test_slow_responses_lower_a_fully_used_limit() -> None:
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        complete_full_limit(limit, second * 1_000_000, SLOW_US)
    assert limit.value < 4


def test_slow_responses_at_the_end_of_a_burst_decrease_from_its_peak() -> None:
    """Guards against a decrease from what is still in flight at the end of a burst, instead of its peak."""
    limit = ConcurrencyLimit(initial=40.0)
    complete_full_limit(limit, 1_000_000, SLOW_US)
    assert 0.6 * 40 < limit.value < 40


def test_fast_responses_after_slow_ones_do_not_lower_the_limit() -> None:
    """Guards against a decrease on a fast response while the moving average still reflects slow ones."""
    limit = ConcurrencyLimit()
    complete_full_limit(limit, 1_000_000, SLOW_US)
    lowered_limit = limit.value
    for second in range(3, 8):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, FAST_US, OBJECTIVE_US, 0, 1)
    assert limit.value >= lowered_limit


def test_slow_responses_to_single_requests_keep_the_initial_limit() -> None:
    """Guards against a limit that falls to its minimum while single requests are slow."""
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, SLOW_US, OBJECTIVE_US, 0, 1)
    assert limit.value == INITIAL_LIMIT


def test_an_idle_limit_restarts_from_its_restart_limit() -> None:
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        complete_full_limit(limit, second * 1_000_000, SLOW_US)
    limit.on_idle()
    assert limit.value == INITIAL_LIMIT


def test_restart_limit_divided_among_many_routers_allows_the_minimum() -> None:
    limit = ConcurrencyLimit()
    limit.set_restart_limit(INITIAL_LIMIT / 400)
    for second in range(1, 10):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, SLOW_US, OBJECTIVE_US, 0, 1)
    assert limit.value == MINIMUM_LIMIT

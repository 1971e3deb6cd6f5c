"""The concurrency limit by itself: what lowers it, by how much, and its way back."""

from __future__ import annotations

from juniperreel.admission.concurrency import INITIAL_LIMIT, MINIMUM_LIMIT, ConcurrencyLimit

OBJECTIVE_US = 600_000
SLOW_US = 400_000
FAST_US = 45_000


def use_fully(limit: ConcurrencyLimit, now_us: int, response_time_us: int) -> None:
    """Answer as many requests as the limit allows, all of them in flight together."""
    in_flight = int(limit.value)
    for number in range(1, in_flight + 1):
        limit.on_start(number)
    for left in range(in_flight - 1, -1, -1):
        limit.on_success(now_us, response_time_us, OBJECTIVE_US, left, in_flight)


def test_slow_answers_while_the_limit_is_used_lower_it() -> None:
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        use_fully(limit, second * 1_000_000, SLOW_US)
    assert limit.value < 4


def test_slow_answers_at_the_end_of_a_burst_count_for_all_of_it() -> None:
    """Guards against a decrease from what was left in flight when the burst was nearly over."""
    limit = ConcurrencyLimit(initial=40.0)
    use_fully(limit, 1_000_000, SLOW_US)
    assert 0.6 * 40 < limit.value < 40


def test_fast_answers_after_slow_ones_lower_nothing() -> None:
    """Guards against a fast answer that lowers the limit because the mean still remembers slow ones."""
    limit = ConcurrencyLimit()
    use_fully(limit, 1_000_000, SLOW_US)
    lowered = limit.value
    for second in range(3, 8):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, FAST_US, OBJECTIVE_US, 0, 1)
    assert limit.value >= lowered


def test_slow_answers_to_single_requests_leave_the_initial_limit() -> None:
    """Guards against a limit at its minimum because one request at a time was slow."""
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, SLOW_US, OBJECTIVE_US, 0, 1)
    assert limit.value == INITIAL_LIMIT


def test_an_idle_limit_restarts_from_its_restart_limit() -> None:
    limit = ConcurrencyLimit()
    for second in range(1, 10):
        use_fully(limit, second * 1_000_000, SLOW_US)
    limit.on_idle()
    assert limit.value == INITIAL_LIMIT


def test_the_restart_limit_of_one_of_many_routers_is_its_part() -> None:
    limit = ConcurrencyLimit()
    limit.set_restart_limit(INITIAL_LIMIT / 400)
    for second in range(1, 10):
        limit.on_start(1)
        limit.on_success(second * 1_000_000, SLOW_US, OBJECTIVE_US, 0, 1)
    assert limit.value == MINIMUM_LIMIT

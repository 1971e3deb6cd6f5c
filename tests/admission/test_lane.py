"""One lane by itself: what it learns of the endpoints' rate, and what it must not learn."""

from __future__ import annotations

import pytest

from juniperreel.admission.concurrency import ConcurrencyLimit
from juniperreel.admission.lane import PriorityLane
from juniperreel.emulator.router_settings import SECOND_US

OBJECTIVE_US = 600_000
GAP_US = 10_000
WHOLE = (1.0,)  # the shares of a single tenant


def play_burst(lane: PriorityLane, start_us: int) -> int:
    """Fill the lane and have its requests end one each `GAP_US`, the last one first; return when."""
    count = int(lane.limit.value)
    for _ in range(count):
        lane.on_admission(0)
    now_us = start_us
    for _ in range(count):
        now_us += GAP_US
        lane.on_completion(now_us, was_full=True)
    return now_us


@pytest.mark.parametrize("pause_us", [SECOND_US, 60 * SECOND_US])
def test_a_pause_between_two_bursts_is_not_the_endpoints_rate(pause_us: int) -> None:
    """Guards against queues that refused everybody, since the pause counted as the time of one answer."""
    lane = PriorityLane(WHOLE, ConcurrencyLimit())
    end_us = play_burst(lane, 0)
    expected_us = lane.estimated_wait_us(10, OBJECTIVE_US)
    assert expected_us == pytest.approx(10 * GAP_US)
    play_burst(lane, end_us + pause_us)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == pytest.approx(expected_us)


def test_a_rate_that_was_observed_long_ago_is_forgotten() -> None:
    """Guards against a rate of endpoints that hung, by which a burst long after it was not queued at all."""
    lane = PriorityLane(WHOLE, ConcurrencyLimit())
    end_us = play_burst(lane, 0)
    fresh_us = PriorityLane(WHOLE, ConcurrencyLimit()).estimated_wait_us(10, OBJECTIVE_US)
    lane.expire_observations(end_us + SECOND_US)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == pytest.approx(10 * GAP_US)
    lane.expire_observations(end_us + 3 * SECOND_US)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == fresh_us

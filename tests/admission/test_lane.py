"""Unit tests of a lane: its estimate of the completion rate."""

from __future__ import annotations

import pytest

from juniperreel.admission.concurrency import ConcurrencyLimit
from juniperreel.admission.lane import PriorityLane
from juniperreel.emulator.router_settings import SECOND_US

OBJECTIVE_US = 600_000
COMPLETION_INTERVAL_US = 10_000
SINGLE_TENANT_SHARES = (1.0,)


def complete_burst(lane: PriorityLane, start_us: int) -> int:
    """Fill the lane and complete a request every `COMPLETION_INTERVAL_US`; return the end time."""
    count = int(lane.limit.value)
    for _ in range(count):
        lane.on_admission(0)
    now_us = start_us
    for _ in range(count):
        now_us += COMPLETION_INTERVAL_US
        lane.on_completion(now_us, was_full=True)
    return now_us


@pytest.mark.parametrize("pause_us", [SECOND_US, 60 * SECOND_US])
def test_a_pause_between_two_bursts_does_not_change_the_completion_rate(pause_us: int) -> None:
    """Guards against a queue that rejects every request because a pause counted as a completion interval."""
    lane = PriorityLane(SINGLE_TENANT_SHARES, ConcurrencyLimit())
    end_us = complete_burst(lane, 0)
    expected_us = lane.estimated_wait_us(10, OBJECTIVE_US)
    assert expected_us == pytest.approx(10 * COMPLETION_INTERVAL_US)
    complete_burst(lane, end_us + pause_us)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == pytest.approx(expected_us)


def test_an_outdated_completion_rate_expires() -> None:
    """Guards against a burst that is not queued because of a rate measured long ago, on stalled endpoints."""
    lane = PriorityLane(SINGLE_TENANT_SHARES, ConcurrencyLimit())
    end_us = complete_burst(lane, 0)
    fresh_us = PriorityLane(SINGLE_TENANT_SHARES, ConcurrencyLimit()).estimated_wait_us(10, OBJECTIVE_US)
    lane.expire_observations(end_us + SECOND_US)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == pytest.approx(10 * COMPLETION_INTERVAL_US)
    lane.expire_observations(end_us + 3 * SECOND_US)
    assert lane.estimated_wait_us(10, OBJECTIVE_US) == fresh_us

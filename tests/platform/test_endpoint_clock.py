"""Estimation of the local clock's offset from reported positions."""

from __future__ import annotations

import pytest

from juniperreel.platform.endpoint_clock import SAMPLE_COUNT, EndpointClock
from tests.platform.event_harness import MS, SEC, START_US

HOUR_US = 3600 * SEC


class PositionReports:
    """Reports positions to a clock, each 5 ms after its query."""

    def __init__(self) -> None:
        self.clock = EndpointClock()
        self.now_us = START_US

    def report(
        self, ahead_us: int, endpoint: str = "p", is_primary: bool = True, held_up_us: int = 0, count: int = 1
    ) -> int:
        """Report positions that were `ahead_us` ahead of the clock; return the total change of the offset."""
        changed_us = 0
        for _ in range(count):
            asked_us = self.now_us
            self.now_us += 5 * MS
            position_us = self.now_us + ahead_us
            self.now_us += held_up_us
            changed_us += self.clock.observe(endpoint, is_primary, position_us, asked_us, self.now_us)
        return changed_us


@pytest.mark.parametrize("step_us", [150 * MS, 3 * SEC, HOUR_US])
def test_agreeing_future_positions_reveal_clock_behind(step_us: int) -> None:
    positions = PositionReports()
    assert positions.report(step_us, count=2) == 0
    assert positions.report(step_us) == pytest.approx(step_us, abs=10 * MS)
    assert positions.clock.is_plausible(positions.now_us + step_us, positions.now_us)
    assert abs(positions.report(step_us, count=20)) <= 10 * MS  # they now match the adjusted clock


def test_future_position_is_implausible_before_offset_is_known() -> None:
    positions = PositionReports()
    assert not positions.clock.is_plausible(positions.now_us + 3 * SEC, positions.now_us)
    assert positions.clock.is_plausible(positions.now_us + 50 * MS, positions.now_us)


def test_agreeing_old_primary_positions_reveal_clock_far_ahead() -> None:
    positions = PositionReports()
    changes = [positions.report(-HOUR_US, "pq"[n % 2]) for n in range(SAMPLE_COUNT)]
    assert sum(changes) == pytest.approx(-HOUR_US, abs=100 * MS)
    # The remaining offset is on the safe side: the clock is not behind.
    assert positions.clock.to_driver_us(positions.now_us - HOUR_US) <= positions.now_us


def test_corrupt_positions_do_not_change_offset() -> None:
    positions = PositionReports()
    for n in range(100):
        corrupt = n % 3 == 0
        assert positions.report((n + 1) * HOUR_US if corrupt else 0) == 0
    assert positions.clock.offset_us == 0


def test_lagging_replicas_and_stalled_primary_do_not_change_offset() -> None:
    positions = PositionReports()
    assert positions.report(-5 * SEC, "a", is_primary=False, count=50) == 0
    for n in range(50):
        assert positions.report(-n * 100 * MS) == 0


def test_stalled_primaries_of_several_groups_do_not_change_offset() -> None:
    """Guards against mistaking an outage that stalls the positions of many groups for clock skew."""
    positions = PositionReports()
    for n in range(300):
        assert positions.report(-n * 100 * MS, "pqr"[n % 3]) == 0


def test_replies_read_after_suspension_do_not_change_offset() -> None:
    """After a suspension of several seconds, replies to all earlier queries are pending."""
    positions = PositionReports()
    for n in range(2 * SAMPLE_COUNT):
        assert positions.report(0, "pq"[n % 2], held_up_us=4 * SEC) == 0

"""What positions show of this machine's wall clock, and what they don't."""

from __future__ import annotations

import pytest

from juniperreel.platform.endpoint_clock import SAMPLE_COUNT, EndpointClock
from tests.platform.event_harness import MS, SEC, START_US

HOUR_US = 3600 * SEC


class Positions:
    """Tells a clock positions, each answered 5 ms after it was asked for."""

    def __init__(self) -> None:
        self.clock = EndpointClock()
        self.now_us = START_US

    def tell(
        self, ahead_us: int, endpoint: str = "p", is_primary: bool = True, held_up_us: int = 0, times: int = 1
    ) -> int:
        """Tell positions so far ahead of the clock when they were given; return what that changed in all."""
        changed_us = 0
        for _ in range(times):
            asked_us = self.now_us
            self.now_us += 5 * MS
            position_us = self.now_us + ahead_us
            self.now_us += held_up_us
            changed_us += self.clock.observe(endpoint, is_primary, position_us, asked_us, self.now_us)
        return changed_us


@pytest.mark.parametrize("step_us", [150 * MS, 3 * SEC, HOUR_US])
def test_positions_in_the_future_that_agree_show_a_clock_that_is_behind(step_us: int) -> None:
    positions = Positions()
    assert positions.tell(step_us, times=2) == 0
    assert positions.tell(step_us) == pytest.approx(step_us, abs=10 * MS)
    assert positions.clock.is_plausible(positions.now_us + step_us, positions.now_us)
    assert abs(positions.tell(step_us, times=20)) <= 10 * MS  # they are present now


def test_a_position_in_the_future_says_nothing_before_the_step_is_known() -> None:
    positions = Positions()
    assert not positions.clock.is_plausible(positions.now_us + 3 * SEC, positions.now_us)
    assert positions.clock.is_plausible(positions.now_us + 50 * MS, positions.now_us)


def test_old_positions_of_primaries_that_agree_show_a_clock_that_is_far_ahead() -> None:
    positions = Positions()
    changes = [positions.tell(-HOUR_US, "pq"[n % 2]) for n in range(SAMPLE_COUNT)]
    assert sum(changes) == pytest.approx(-HOUR_US, abs=100 * MS)
    # What is left is on the safe side: the clock is not behind.
    assert positions.clock.to_driver_us(positions.now_us - HOUR_US) <= positions.now_us


def test_spoilt_positions_among_sound_ones_move_no_clock() -> None:
    positions = Positions()
    for n in range(100):
        spoilt = n % 3 == 0
        assert positions.tell((n + 1) * HOUR_US if spoilt else 0) == 0
    assert positions.clock.offset_us == 0


def test_replicas_that_lag_and_a_primary_that_stands_still_move_no_clock() -> None:
    positions = Positions()
    assert positions.tell(-5 * SEC, "a", is_primary=False, times=50) == 0
    for n in range(50):
        assert positions.tell(-n * 100 * MS) == 0


def test_primaries_of_several_groups_that_stand_still_together_move_no_clock() -> None:
    """Danger: members of many groups hang at once, and all their positions stand still for seconds."""
    positions = Positions()
    for n in range(300):
        assert positions.tell(-n * 100 * MS, "pqr"[n % 3]) == 0


def test_a_process_that_was_held_up_reads_old_answers_and_moves_no_clock() -> None:
    """Stopped for seconds, it finds the answers of all that it asked before."""
    positions = Positions()
    for n in range(2 * SAMPLE_COUNT):
        assert positions.tell(0, "pq"[n % 2], held_up_us=4 * SEC) == 0

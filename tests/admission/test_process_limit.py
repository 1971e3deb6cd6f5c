"""The process limit: lag that requests in flight cannot have caused leaves it, and it finds its way back."""

from __future__ import annotations

import pytest

from juniperreel.admission import AdmissionController, Arrival
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings

MAX_OPEN = 5_000
WINDOW_US = 100_000
LONG_LAG_US = 150_000
SHORT_LAG_US = 1_000
# From any decrease to the whole of the limit, once the loop is on time again.
RECOVERY_US = 10 * SECOND_US


def make_controller() -> AdmissionController:
    return AdmissionController(make_settings((make_request_class("read", 1.0),)), MAX_OPEN, seed=1)


def admit(controller: AdmissionController, count: int, at_us: int) -> list[str]:
    """Have so many requests in flight, each in a lane of its own; return their ids."""
    names = [f"r{at_us}.{number}" for number in range(count)]
    for number, name in enumerate(names):
        controller.on_arrival(at_us, Arrival(name, 0, -1, number, at_us, at_us + 60 * SECOND_US))
    assert controller.in_flight >= count
    return names


def observe_lag(controller: AdmissionController, start_us: int, end_us: int, lag_us: int) -> None:
    """Observe the same lag in each window between two times."""
    for now_us in range(start_us, end_us, WINDOW_US):
        controller.on_loop_lag(now_us, lag_us)


@pytest.mark.parametrize("in_flight", [0, 1, 4])
def test_lag_of_an_idle_process_lowers_no_limit(in_flight: int) -> None:
    """Guards against bursts that an edge refused for minutes after a few slow passes while it was idle."""
    controller = make_controller()
    admit(controller, in_flight, 0)
    observe_lag(controller, WINDOW_US, 2 * SECOND_US, LONG_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_lag_of_an_idle_process_is_forgotten_when_a_burst_comes() -> None:
    idle = make_controller()
    observe_lag(idle, WINDOW_US, 2 * SECOND_US, LONG_LAG_US)
    never_late = make_controller()
    observe_lag(never_late, WINDOW_US, 2 * SECOND_US, SHORT_LAG_US)
    for controller in (idle, never_late):
        admit(controller, 200, 2 * SECOND_US)
        observe_lag(controller, 2 * SECOND_US, 3 * SECOND_US, 30_000)
    assert idle.process_limit.value == never_late.process_limit.value


@pytest.mark.parametrize("in_flight", [8, 12, 400])
def test_a_lowered_limit_is_whole_again_within_a_bounded_time(in_flight: int) -> None:
    """Guards against a limit that grew by ones, and only while all of it was used."""
    controller = make_controller()
    names = admit(controller, in_flight, 0)
    observe_lag(controller, WINDOW_US, 5 * SECOND_US, 10 * LONG_LAG_US)
    assert controller.process_limit.value < 10
    for name in names:
        controller.on_finished(5 * SECOND_US, name, 45_000)
    observe_lag(controller, 5 * SECOND_US, 5 * SECOND_US + RECOVERY_US, SHORT_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_a_lowered_limit_is_whole_again_though_nothing_was_observed_meanwhile() -> None:
    controller = make_controller()
    names = admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 3 * SECOND_US, 10 * LONG_LAG_US)
    assert controller.process_limit.value < 10
    for name in names:
        controller.on_finished(3 * SECOND_US, name, 45_000)
    controller.on_loop_lag(3 * SECOND_US + WINDOW_US, SHORT_LAG_US)
    controller.on_loop_lag(3 * SECOND_US + RECOVERY_US, SHORT_LAG_US)
    controller.on_loop_lag(3 * SECOND_US + RECOVERY_US + WINDOW_US, SHORT_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_a_limit_in_full_use_grows_while_the_loop_is_on_time() -> None:
    controller = make_controller()
    admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 5 * SECOND_US, 10 * LONG_LAG_US)
    lowest = controller.process_limit.value
    observe_lag(controller, 5 * SECOND_US, 9 * SECOND_US, SHORT_LAG_US)
    assert controller.process_limit.value > 4 * lowest


def test_one_long_stall_under_load_leaves_the_limit_and_lasting_lag_lowers_it() -> None:
    controller = make_controller()
    admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 2 * SECOND_US, SHORT_LAG_US)
    controller.on_loop_lag(4 * SECOND_US, 2 * SECOND_US)
    assert controller.process_limit.value == MAX_OPEN
    observe_lag(controller, 4 * SECOND_US + WINDOW_US, 5 * SECOND_US, LONG_LAG_US)
    assert controller.process_limit.value < 400

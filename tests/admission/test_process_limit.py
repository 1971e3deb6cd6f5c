"""Tests of the process limit: lag without requests in flight is ignored; recovery takes a bounded time."""

from __future__ import annotations

import pytest

from juniperreel.admission import AdmissionController, Arrival
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings

MAX_OPEN = 5_000
WINDOW_US = 100_000
HIGH_LAG_US = 150_000
LOW_LAG_US = 1_000
# Maximum time from any decrease to full recovery, once the loop has no lag.
RECOVERY_US = 10 * SECOND_US


def make_controller() -> AdmissionController:
    return AdmissionController(make_settings((make_request_class("read", 1.0),)), MAX_OPEN, seed=1)


def admit(controller: AdmissionController, count: int, at_us: int) -> list[str]:
    """Admit requests, each in a separate lane; return their ids."""
    names = [f"r{at_us}.{number}" for number in range(count)]
    for number, name in enumerate(names):
        controller.on_arrival(at_us, Arrival(name, 0, -1, number, at_us, at_us + 60 * SECOND_US))
    assert controller.in_flight >= count
    return names


def observe_lag(controller: AdmissionController, start_us: int, end_us: int, lag_us: int) -> None:
    """Report the same lag in each window between two times."""
    for now_us in range(start_us, end_us, WINDOW_US):
        controller.on_loop_lag(now_us, lag_us)


@pytest.mark.parametrize("in_flight", [0, 1, 4])
def test_lag_of_an_idle_process_does_not_lower_the_limit(in_flight: int) -> None:
    """Guards against an edge that rejects bursts for minutes after a few slow loop iterations while idle."""
    controller = make_controller()
    admit(controller, in_flight, 0)
    observe_lag(controller, WINDOW_US, 2 * SECOND_US, HIGH_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_lag_of_an_idle_process_does_not_affect_a_later_burst() -> None:
    idle = make_controller()
    observe_lag(idle, WINDOW_US, 2 * SECOND_US, HIGH_LAG_US)
    without_lag = make_controller()
    observe_lag(without_lag, WINDOW_US, 2 * SECOND_US, LOW_LAG_US)
    for controller in (idle, without_lag):
        admit(controller, 200, 2 * SECOND_US)
        observe_lag(controller, 2 * SECOND_US, 3 * SECOND_US, 30_000)
    assert idle.process_limit.value == without_lag.process_limit.value


@pytest.mark.parametrize("in_flight", [8, 12, 400])
def test_a_lowered_limit_recovers_fully_within_a_bounded_time(in_flight: int) -> None:
    """Guards against a limit that only grows additively, and only while it is fully used."""
    controller = make_controller()
    names = admit(controller, in_flight, 0)
    observe_lag(controller, WINDOW_US, 5 * SECOND_US, 10 * HIGH_LAG_US)
    assert controller.process_limit.value < 10
    for name in names:
        controller.on_finished(5 * SECOND_US, name, 45_000)
    observe_lag(controller, 5 * SECOND_US, 5 * SECOND_US + RECOVERY_US, LOW_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_a_lowered_limit_recovers_fully_without_intermediate_observations() -> None:
    controller = make_controller()
    names = admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 3 * SECOND_US, 10 * HIGH_LAG_US)
    assert controller.process_limit.value < 10
    for name in names:
        controller.on_finished(3 * SECOND_US, name, 45_000)
    controller.on_loop_lag(3 * SECOND_US + WINDOW_US, LOW_LAG_US)
    controller.on_loop_lag(3 * SECOND_US + RECOVERY_US, LOW_LAG_US)
    controller.on_loop_lag(3 * SECOND_US + RECOVERY_US + WINDOW_US, LOW_LAG_US)
    assert controller.process_limit.value == MAX_OPEN


def test_a_fully_used_limit_grows_while_the_loop_has_no_lag() -> None:
    controller = make_controller()
    admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 5 * SECOND_US, 10 * HIGH_LAG_US)
    lowered_limit = controller.process_limit.value
    observe_lag(controller, 5 * SECOND_US, 9 * SECOND_US, LOW_LAG_US)
    assert controller.process_limit.value > 4 * lowered_limit


def test_lasting_lag_under_load_lowers_the_limit_and_one_long_stall_does_not() -> None:
    controller = make_controller()
    admit(controller, 400, 0)
    observe_lag(controller, WINDOW_US, 2 * SECOND_US, LOW_LAG_US)
    controller.on_loop_lag(4 * SECOND_US, 2 * SECOND_US)
    assert controller.process_limit.value == MAX_OPEN
    observe_lag(controller, 4 * SECOND_US + WINDOW_US, 5 * SECOND_US, HIGH_LAG_US)
    assert controller.process_limit.value < 400

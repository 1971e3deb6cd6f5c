"""Rule 4: all edges together never send a warming endpoint more than a multiple of its current capacity."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from juniperreel.verification.history import History, Violation
from juniperreel.verification.records import OVERLOADED, AttemptReceived, EndpointStarted, Limits

RULE = 4


def check_slow_start(history: History) -> list[Violation]:
    """Find endpoints that were overloaded during slow start, and those that failed because of it."""
    limits = history.limits
    if limits is None:
        return []
    found: list[Violation] = []
    by_endpoint: dict[str, list[AttemptReceived]] = defaultdict(list)
    for attempts in history.attempts.values():
        for attempt in attempts:
            by_endpoint[attempt.endpoint].append(attempt)
    for endpoint, starts in history.starts.items():
        arrivals = sorted(by_endpoint[endpoint], key=lambda attempt: attempt.at)
        for start in starts:
            overload = _first_overload(limits, start, arrivals) if start.warming_up else None
            if overload is not None:
                found.append(overload)
    for endpoint, stops in history.stops.items():
        found.extend(
            Violation(RULE, f"{endpoint} fell over", stop) for stop in stops if stop.cause == OVERLOADED
        )
    return found


def _first_overload(
    limits: Limits, start: EndpointStarted, arrivals: Sequence[AttemptReceived]
) -> Violation | None:
    """The first sliding window during a slow start with more work than the overload threshold."""
    window: list[AttemptReceived] = []
    for arrival in arrivals:
        age_us = arrival.at - start.at
        if not 0 <= age_us < limits.slow_start_us:
            continue
        window = [earlier for earlier in window if earlier.at > arrival.at - limits.overload_window_us]
        window.append(arrival)
        ramp = limits.initial_capacity + (1 - limits.initial_capacity) * age_us / limits.slow_start_us
        allowed_work_us = limits.overload_multiple * ramp * start.capacity * limits.overload_window_us
        offered_work_us = sum(earlier.work_us for earlier in window)
        if offered_work_us > allowed_work_us:
            text = f"{start.endpoint} was sent {offered_work_us / allowed_work_us:.2f} times what it bears"
            return Violation(RULE, text, arrival)
    return None

"""Arrival times of the bytes of a stream."""

from __future__ import annotations

from juniperreel.platform.arrival_times import ArrivalTimes
from tests.platform.event_harness import MS


def test_arrival_time_is_that_of_last_byte_taken() -> None:
    arrivals = ArrivalTimes()
    arrivals.receive(10, 100 * MS)
    arrivals.receive(10, 200 * MS)
    arrivals.receive(10, 300 * MS)
    assert arrivals.take(unread=20) == 100 * MS
    assert arrivals.take(unread=19) == 200 * MS
    assert arrivals.take(unread=10) == 200 * MS
    assert arrivals.take(unread=0) == 300 * MS


def test_bytes_arriving_singly_share_a_mark_from_the_first() -> None:
    arrivals = ArrivalTimes()
    for n in range(1000):
        arrivals.receive(1, 100 * MS + n // 10)
    assert arrivals.take(unread=0) == 100 * MS
    assert len(arrivals._marks) == 1

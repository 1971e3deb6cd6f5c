"""When the bytes of a stream arrived."""

from __future__ import annotations

from juniperreel.platform.arrival_times import ArrivalTimes
from tests.platform.event_harness import MS


def test_arrival_of_what_is_taken_is_that_of_its_last_byte() -> None:
    arrivals = ArrivalTimes()
    arrivals.receive(10, 100 * MS)
    arrivals.receive(10, 200 * MS)
    arrivals.receive(10, 300 * MS)
    assert arrivals.take(unread=20) == 100 * MS
    assert arrivals.take(unread=19) == 200 * MS
    assert arrivals.take(unread=10) == 200 * MS
    assert arrivals.take(unread=0) == 300 * MS


def test_bytes_that_arrive_one_by_one_share_a_mark_and_count_from_the_first() -> None:
    arrivals = ArrivalTimes()
    for n in range(1000):
        arrivals.receive(1, 100 * MS + n // 10)
    assert arrivals.take(unread=0) == 100 * MS
    assert len(arrivals._marks) == 1

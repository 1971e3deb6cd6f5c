"""Ids of answered requests are known for 30 s, or until 19,000 later ones were answered."""

from __future__ import annotations

from juniperreel.platform.answered_ids import MAX_IDS, MAX_SLICE_IDS, SLICE_US, TTL_US, AnsweredIds

START_US = 1_000_000_000


def request_id(number: int) -> str:
    return f"{number:016x}"


def test_ids_are_known_until_their_time_is_over() -> None:
    ids = AnsweredIds()
    ids.add(request_id(1), START_US)
    ids.add(request_id(2), START_US + TTL_US)
    assert request_id(1) in ids
    ids.add(request_id(3), START_US + TTL_US + SLICE_US + 1)
    assert request_id(1) not in ids
    assert request_id(2) in ids
    assert request_id(3) in ids


def test_number_of_ids_is_bounded_and_the_latest_are_kept() -> None:
    ids = AnsweredIds()
    for number in range(3 * MAX_IDS):
        ids.add(request_id(number), START_US + number)
        assert len(ids) <= MAX_IDS
    kept = range(3 * MAX_IDS - (MAX_IDS - MAX_SLICE_IDS), 3 * MAX_IDS)
    assert all(request_id(number) in ids for number in kept)


def test_id_that_is_added_again_is_counted_once() -> None:
    ids = AnsweredIds()
    for _ in range(3 * MAX_IDS):
        ids.add(request_id(7), START_US)
    assert len(ids) == 1
    ids.add(request_id(8), START_US + 2 * TTL_US)
    assert request_id(7) not in ids
    assert len(ids) == 1

"""Each checker holds on a clean day and sees its violation when one is planted."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from juniperreel.verification import records as rec
from juniperreel.verification.rules import Day, Reads, check_all, check_reads

S = 1_000_000
READ = rec.Class(0, "read", "repeatable", 0, False, False, 300_000, S, 1, 0)
OWN = rec.Class(0, "own", "repeatable", 0, False, True, -1, S, 1, 0)
WRITE = rec.Class(0, "write", "keyed", 5 * S, True, False, -1, S, 1, 0)
ONCE = rec.Class(0, "once", "once", 0, True, False, -1, S, 1, 0)
LIMITS = rec.Limits(0, 2 * S, 0.2, 6 * S, 2.0, 2 * S, 6)
Records = list[rec.Record]


def request(
    rid: str,
    cls: str,
    at: int,
    member: str = "m1",
    number: int = 0,
    status: int = 0,
    rows: list[str] | None = None,
    commit: bool = False,
    row: str = "r",
    how: str = "answered",
    **told: object,
) -> Records:
    """A whole request that went well, unless told otherwise."""
    write = cls in ("write", "once")
    records: Records = [
        rec.Asked(at, rid, number, "edge0", cls, "s1", "", 0, row, at + 2 * S),
        rec.Arrived(at + 1000, member, "edge0", f"edge0-a-{rid}{number}", 0, rid, cls, write, 10_000),
    ]
    if commit:
        records.append(rec.Committed(at + 9000, 0, 1, at + 9000, member, rid, row))
    records.append(rec.Left(at + 10_000, member, f"edge0-a-{rid}{number}", 0, how, commit))
    told.setdefault("member", member)
    records.append(rec.Told(at + 11_000, rid, number, status, rows=rows or [], **told))  # type: ignore[arg-type]
    return records


def clean() -> Records:
    return [
        READ,
        OWN,
        WRITE,
        ONCE,
        LIMITS,
        rec.Started(1 * S, "m1", False, 2.0),
        rec.Started(1 * S, "m2", True, 2.0),
        rec.EdgeUp(1 * S, "edge0"),
        rec.Listed(1 * S, "edge0", "m1", "up"),
        *request("q1", "write", 10 * S, commit=True),
        *request("q2", "own", 11 * S, rows=["q1"]),
        *request("q3", "read", 12 * S, rows=["q1"]),
        *request("q4", "once", 13 * S, commit=True, row="x"),
        rec.EdgeDown(60 * S, "edge0"),
    ]


def broken(records: Records) -> set[int]:
    return {rule for rule, found in check_all(records).items() if found}


def test_a_clean_day_holds_and_reads_are_counted() -> None:
    assert broken(clean()) == set()
    count = Reads()
    check_reads(Day.of(clean()), count)
    assert (count.own, count.bounded, count.rows) == (1, 1, 2)


def no_answer(r: Records) -> None:
    r[:] = [x for x in r if not (isinstance(x, rec.Told) and x.rid == "q3")]


def client_gave_up(r: Records) -> None:
    no_answer(r)
    r.append(rec.Told(14 * S, "q3", 0, 4, local=True))


def late_answer(r: Records) -> None:
    no_answer(r)
    r.append(rec.Told(15 * S, "q3", 0, 0, member="m1", rows=["q1"]))


def two_answers(r: Records) -> None:
    r.append(rec.Told(12 * S + 20_000, "q3", 0, 14))


def sent_after_the_answer(r: Records) -> None:
    r.append(rec.Arrived(12 * S + 200_000, "m1", "edge0", "edge0-a-q30", 1, "q3", "read", False, 10_000))


def effect_twice(r: Records) -> None:
    r.append(rec.Committed(20 * S, 0, 1, 20 * S, "m1", "q1", "r"))


def two_at_once(r: Records) -> None:
    r.append(rec.Arrived(12 * S + 1500, "m2", "edge0", "edge0-a-q30", 1, "q3", "read", False, 10_000))
    r.append(rec.Left(12 * S + 300_000, "m1", "edge0-a-q30", 0, "answered", False))


def given_up_too_late(r: Records) -> None:
    two_at_once(r)
    r.append(rec.Abandoned(12 * S + 200_000, "m1", "edge0-a-q30", 0))


def too_many_attempts(r: Records) -> None:
    for number in range(1, 8):
        at = 12 * S + 1000 * number
        r.append(rec.Arrived(at, "m1", "edge0", "edge0-a-q30", number, "q3", "read", False, 10_000))
        r.append(rec.Left(at + 10, "m1", "edge0-a-q30", number, "BEHIND", False))


def once_again(r: Records) -> None:
    r.append(rec.Arrived(13 * S + 10_500, "m1", "edge0", "edge0-a-q40", 1, "q4", "once", True, 10_000))


def after_the_key_was_forgotten(r: Records) -> None:
    r.extend(request("q9", "write", 30 * S, commit=True, how="stopped", row="z")[:-1])
    r.append(rec.Arrived(36 * S, "m1", "edge0", "edge0-a-q90", 1, "q9", "write", True, 10_000))
    r.append(rec.EdgeStalled(30 * S, "edge0", 37 * S))


def refused_though_it_ran(r: Records) -> None:
    r.extend(request("q9", "once", 30 * S, commit=True, status=14, row="z"))


def after_the_grace(r: Records) -> None:
    r.append(rec.Listed(14 * S, "edge0", "m1", "draining"))
    r.append(rec.Listed(15 * S, "edge0", "m1", "gone"))
    r.extend(request("q9", "read", 17 * S, rows=["q1"]))


def a_transaction_beyond_the_grace(r: Records) -> None:
    r.append(rec.Listed(14 * S, "edge0", "m1", "draining"))
    r.append(rec.Within(17 * S, "m1", "edge0", "edge0-a-q40", 1))


def rushed(r: Records) -> None:
    for number in range(120):  # 1.2 s of work within the window; 2 x 0.2 x 2 cores x 2 s = 1.6 s is borne
        r.extend(request(f"c{number}", "read", 1 * S + 5000 * number, "m2", rows=[], row="none"))
    heavy = rec.Arrived(2 * S, "m2", "edge0", "edge0-a-c1190", 0, "c119", "read", False, 3 * S)
    r.append(heavy)


def fell(r: Records) -> None:
    r.append(rec.Stopped(5 * S, "m2", "fell"))


def own_write_missing(r: Records) -> None:
    r.extend(request("q9", "own", 20 * S, rows=[]))


def too_old(r: Records) -> None:
    r.extend(request("q9", "read", 20 * S, rows=[]))


def lost_but_acknowledged(r: Records) -> None:
    """A write that a failover cut off was confirmed, and its session is served without it."""
    r.append(rec.Promoted(15 * S, 0, 2, 9 * S, "m2"))
    r.extend(request("q9", "own", 20 * S, rows=[]))


PLANTED: list[tuple[Callable[[Records], None], int]] = [
    (no_answer, 1),
    (client_gave_up, 1),
    (late_answer, 1),
    (two_answers, 1),
    (sent_after_the_answer, 1),
    (effect_twice, 2),
    (two_at_once, 2),
    (given_up_too_late, 2),
    (too_many_attempts, 2),
    (once_again, 2),
    (after_the_key_was_forgotten, 2),
    (refused_though_it_ran, 2),
    (after_the_grace, 3),
    (a_transaction_beyond_the_grace, 3),
    (rushed, 4),
    (fell, 4),
    (own_write_missing, 5),
    (too_old, 5),
    (lost_but_acknowledged, 5),
]


@pytest.mark.parametrize(("plant", "rule"), PLANTED, ids=[p.__name__ for p, _ in PLANTED])
def test_a_planted_violation_is_seen(plant: Callable[[Records], None], rule: int) -> None:
    records = clean()
    plant(records)
    assert rule in broken(records)


def within_the_grace(r: Records) -> None:
    r.append(rec.Listed(14 * S, "edge0", "m1", "draining"))
    r.extend(request("q9", "read", 15 * S + 900_000, rows=["q1"]))


def a_transaction_within_the_grace(r: Records) -> None:
    r.append(rec.Listed(14 * S, "edge0", "m1", "draining"))
    r.append(rec.Within(15 * S, "m1", "edge0", "edge0-a-q40", 1))


def given_up_in_time(r: Records) -> None:
    """The member goes on with a statement whose edge has closed the connection."""
    two_at_once(r)
    r.append(rec.Abandoned(12 * S + 1400, "m1", "edge0-a-q30", 0))
    r.append(rec.Left(12 * S + 9000, "m2", "edge0-a-q30", 1, "answered", False))


def listed_again(r: Records) -> None:
    r.append(rec.Listed(14 * S, "edge0", "m1", "gone"))
    r.append(rec.Listed(16 * S, "edge0", "m1", "up"))
    r.extend(request("q9", "read", 19 * S, rows=["q1"]))


def edge_killed(r: Records) -> None:
    r.append(rec.EdgeDown(12 * S + 5000, "edge0"))
    r.append(rec.EdgeUp(14 * S, "edge0"))
    no_answer(r)
    r.append(rec.Told(12 * S + 6000, "q3", 0, 14, local=True))


def cut_off_and_repeated(r: Records) -> None:
    """The first effect was lost with its epoch; the second is the only one."""
    r.append(rec.Promoted(15 * S, 0, 2, 9 * S, "m2"))
    r.append(rec.Committed(16 * S, 0, 2, 16 * S, "m2", "q1", "r"))


def refused_then_retried(r: Records) -> None:
    r.extend(request("q9", "once", 30 * S, status=14, row="z"))
    r.extend(request("q9", "once", 31 * S, number=1, commit=True, row="z"))


def behind_then_served(r: Records) -> None:
    r.extend(request("q9", "own", 20 * S, rows=["q1"], how="BEHIND"))


ALLOWED = [
    within_the_grace,
    a_transaction_within_the_grace,
    given_up_in_time,
    listed_again,
    edge_killed,
    cut_off_and_repeated,
    refused_then_retried,
    behind_then_served,
]


@pytest.mark.parametrize("plant", ALLOWED, ids=[p.__name__ for p in ALLOWED])
def test_what_is_allowed_is_not_called_a_violation(plant: Callable[[Records], None]) -> None:
    records = clean()
    plant(records)
    assert broken(records) == set()


def test_recordings_come_back_and_bad_lines_are_named(tmp_path: Path) -> None:
    path = tmp_path / "day"
    with path.open("wb") as out:
        recorder = rec.Recorder(out)
        for record in clean():
            recorder(record)
    assert list(rec.read(path)) == clean() == recorder.records
    with path.open("ab") as out:
        out.write(msgspec.json.encode({"type": "Nothing", "at": 1}) + b"\n")
    with pytest.raises(rec.BadRecording, match=f":{len(clean()) + 1}:"):
        list(rec.read(path))

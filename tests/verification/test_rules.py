"""Each checker accepts a clean run and finds the violations that are injected into it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from juniperreel.verification import records as rec
from juniperreel.verification.errors import IncompleteRecordingError, RecordingFormatError
from juniperreel.verification.history import History
from juniperreel.verification.rules import check_all
from juniperreel.verification.staleness import ReadCounts, check_reads

S = 1_000_000
READ = rec.RequestClass(0, "read", "repeatable", 0, False, False, 300_000, S, 1, 0)
OWN = rec.RequestClass(0, "own", "repeatable", 0, False, True, -1, S, 1, 0)
WRITE = rec.RequestClass(0, "write", "keyed", 5 * S, True, False, -1, S, 1, 0)
ONCE = rec.RequestClass(0, "once", "once", 0, True, False, -1, S, 1, 0)
LIMITS = rec.Limits(0, 2 * S, 0.2, 6 * S, 2.0, 2 * S, 6)
Records = list[rec.Record]


def request(
    request_id: str,
    class_name: str,
    at: int,
    endpoint: str = "m1",
    number: int = 0,
    status: int = 0,
    rows: list[str] | None = None,
    commit: bool = False,
    row: str = "r",
    outcome: str = "answered",
    **response: object,
) -> Records:
    """All records of one request, which succeeds unless the arguments say otherwise."""
    write = class_name in ("write", "once")
    records: Records = [
        rec.RequestSent(at, request_id, number, "edge0", class_name, "s1", "", 0, row, at + 2 * S),
        rec.AttemptReceived(
            at + 1000,
            endpoint,
            "edge0",
            f"edge0-a-{request_id}{number}",
            0,
            request_id,
            class_name,
            write,
            10_000,
        ),
    ]
    if commit:
        records.append(rec.Committed(at + 9000, 0, 1, at + 9000, endpoint, request_id, row))
    records.append(
        rec.AttemptFinished(at + 10_000, endpoint, f"edge0-a-{request_id}{number}", 0, outcome, commit)
    )
    response.setdefault("endpoint", endpoint)
    records.append(rec.ResponseReceived(at + 11_000, request_id, number, status, rows=rows or [], **response))  # type: ignore[arg-type]
    return records


def clean_records() -> Records:
    return [
        READ,
        OWN,
        WRITE,
        ONCE,
        LIMITS,
        rec.EndpointStarted(1 * S, "m1", False, 2.0),
        rec.EndpointStarted(1 * S, "m2", True, 2.0),
        rec.EdgeUp(1 * S, "edge0"),
        rec.EndpointListed(1 * S, "edge0", "m1", "up"),
        *request("q1", "write", 10 * S, commit=True),
        *request("q2", "own", 11 * S, rows=["q1"]),
        *request("q3", "read", 12 * S, rows=["q1"]),
        *request("q4", "once", 13 * S, commit=True, row="x"),
        rec.EdgeDown(60 * S, "edge0"),
    ]


def violated_rules(records: Records) -> set[int]:
    return {rule for rule, found in check_all(records).items() if found}


def test_clean_run_holds_all_rules_and_counts_its_reads() -> None:
    assert violated_rules(clean_records()) == set()
    counts = ReadCounts()
    check_reads(History.of(clean_records()), counts)
    assert (counts.session, counts.bounded, counts.rows) == (1, 1, 2)


@pytest.mark.parametrize(
    "missing, message",
    [
        (LIMITS, "has no limits, which the check of attempts needs"),
        (ONCE, "has no class once, .* request q4"),
    ],
    ids=["limits", "class"],
)
def test_recording_without_what_a_rule_needs_is_no_proof(missing: rec.Record, message: str) -> None:
    """Guards against rules 2, 3 and 4 that hold because nothing was compared."""
    records = [record for record in clean_records() if record is not missing]
    with pytest.raises(IncompleteRecordingError, match=message):
        check_all(records)


def no_response(records: Records) -> None:
    records[:] = [x for x in records if not (isinstance(x, rec.ResponseReceived) and x.request_id == "q3")]


def client_timed_out(records: Records) -> None:
    no_response(records)
    records.append(rec.ResponseReceived(14 * S, "q3", 0, 4, local=True))


def late_response(records: Records) -> None:
    no_response(records)
    records.append(rec.ResponseReceived(15 * S, "q3", 0, 0, endpoint="m1", rows=["q1"]))


def two_responses(records: Records) -> None:
    records.append(rec.ResponseReceived(12 * S + 20_000, "q3", 0, 14))


def attempt_after_the_response(records: Records) -> None:
    records.append(
        rec.AttemptReceived(12 * S + 200_000, "m1", "edge0", "edge0-a-q30", 1, "q3", "read", False, 10_000)
    )


def duplicate_effect(records: Records) -> None:
    records.append(rec.Committed(20 * S, 0, 1, 20 * S, "m1", "q1", "r"))


def concurrent_attempts(records: Records) -> None:
    records.append(
        rec.AttemptReceived(12 * S + 1500, "m2", "edge0", "edge0-a-q30", 1, "q3", "read", False, 10_000)
    )
    records.append(rec.AttemptFinished(12 * S + 300_000, "m1", "edge0-a-q30", 0, "answered", False))


def abandoned_too_late(records: Records) -> None:
    concurrent_attempts(records)
    records.append(rec.AttemptAbandoned(12 * S + 200_000, "m1", "edge0-a-q30", 0))


def too_many_attempts(records: Records) -> None:
    for number in range(1, 8):
        at = 12 * S + 1000 * number
        records.append(
            rec.AttemptReceived(at, "m1", "edge0", "edge0-a-q30", number, "q3", "read", False, 10_000)
        )
        records.append(rec.AttemptFinished(at + 10, "m1", "edge0-a-q30", number, "BEHIND", False))


def non_idempotent_retried(records: Records) -> None:
    records.append(
        rec.AttemptReceived(13 * S + 10_500, "m1", "edge0", "edge0-a-q40", 1, "q4", "once", True, 10_000)
    )


def retried_after_the_deduplication_window(records: Records) -> None:
    records.extend(request("q9", "write", 30 * S, commit=True, outcome="stopped", row="z")[:-1])
    records.append(rec.AttemptReceived(36 * S, "m1", "edge0", "edge0-a-q90", 1, "q9", "write", True, 10_000))
    records.append(rec.EdgeStalled(30 * S, "edge0", 37 * S))


def rejected_though_it_took_effect(records: Records) -> None:
    records.extend(request("q9", "once", 30 * S, commit=True, status=14, row="z"))


def attempt_after_the_grace(records: Records) -> None:
    records.append(rec.EndpointListed(14 * S, "edge0", "m1", "draining"))
    records.append(rec.EndpointListed(15 * S, "edge0", "m1", "gone"))
    records.extend(request("q9", "read", 17 * S, rows=["q1"]))


def transaction_statement_after_the_grace(records: Records) -> None:
    records.append(rec.EndpointListed(14 * S, "edge0", "m1", "draining"))
    records.append(rec.StatementReceived(17 * S, "m1", "edge0", "edge0-a-q40", 1))


def overloaded_while_warming_up(records: Records) -> None:
    for number in range(120):  # 1.2 s of work within the window; 2 x 0.2 x 2 cores x 2 s = 1.6 s are allowed
        records.extend(request(f"c{number}", "read", 1 * S + 5000 * number, "m2", rows=[], row="none"))
    heavy = rec.AttemptReceived(2 * S, "m2", "edge0", "edge0-a-c1190", 0, "c119", "read", False, 3 * S)
    records.append(heavy)


def failed_while_warming_up(records: Records) -> None:
    records.append(rec.EndpointStopped(5 * S, "m2", "fell"))


def own_write_missing(records: Records) -> None:
    records.extend(request("q9", "own", 20 * S, rows=[]))


def stale_read(records: Records) -> None:
    records.extend(request("q9", "read", 20 * S, rows=[]))


def acknowledged_write_lost(records: Records) -> None:
    """An acknowledged write was lost in a failover, and a later read of its session does not include it."""
    records.append(rec.Promoted(15 * S, 0, 2, 9 * S, "m2"))
    records.extend(request("q9", "own", 20 * S, rows=[]))


INJECTED: list[tuple[Callable[[Records], None], int]] = [
    (no_response, 1),
    (client_timed_out, 1),
    (late_response, 1),
    (two_responses, 1),
    (attempt_after_the_response, 1),
    (duplicate_effect, 2),
    (concurrent_attempts, 2),
    (abandoned_too_late, 2),
    (too_many_attempts, 2),
    (non_idempotent_retried, 2),
    (retried_after_the_deduplication_window, 2),
    (rejected_though_it_took_effect, 2),
    (attempt_after_the_grace, 3),
    (transaction_statement_after_the_grace, 3),
    (overloaded_while_warming_up, 4),
    (failed_while_warming_up, 4),
    (own_write_missing, 5),
    (stale_read, 5),
    (acknowledged_write_lost, 5),
]


@pytest.mark.parametrize("inject,rule", INJECTED, ids=[inject.__name__ for inject, _ in INJECTED])
def test_injected_violation_is_found(inject: Callable[[Records], None], rule: int) -> None:
    records = clean_records()
    inject(records)
    assert rule in violated_rules(records)


def attempt_within_the_grace(records: Records) -> None:
    records.append(rec.EndpointListed(14 * S, "edge0", "m1", "draining"))
    records.extend(request("q9", "read", 15 * S + 900_000, rows=["q1"]))


def transaction_statement_within_the_grace(records: Records) -> None:
    records.append(rec.EndpointListed(14 * S, "edge0", "m1", "draining"))
    records.append(rec.StatementReceived(15 * S, "m1", "edge0", "edge0-a-q40", 1))


def abandoned_in_time(records: Records) -> None:
    """The endpoint continues to execute a statement after the edge has closed its connection."""
    concurrent_attempts(records)
    records.append(rec.AttemptAbandoned(12 * S + 1400, "m1", "edge0-a-q30", 0))
    records.append(rec.AttemptFinished(12 * S + 9000, "m2", "edge0-a-q30", 1, "answered", False))


def listed_again(records: Records) -> None:
    records.append(rec.EndpointListed(14 * S, "edge0", "m1", "gone"))
    records.append(rec.EndpointListed(16 * S, "edge0", "m1", "up"))
    records.extend(request("q9", "read", 19 * S, rows=["q1"]))


def edge_killed(records: Records) -> None:
    records.append(rec.EdgeDown(12 * S + 5000, "edge0"))
    records.append(rec.EdgeUp(14 * S, "edge0"))
    no_response(records)
    records.append(rec.ResponseReceived(12 * S + 6000, "q3", 0, 14, local=True))


def lost_effect_repeated(records: Records) -> None:
    """The first commit was lost with its epoch, so that the repeated one is the only effect."""
    records.append(rec.Promoted(15 * S, 0, 2, 9 * S, "m2"))
    records.append(rec.Committed(16 * S, 0, 2, 16 * S, "m2", "q1", "r"))


def rejected_then_retried(records: Records) -> None:
    records.extend(request("q9", "once", 30 * S, status=14, row="z"))
    records.extend(request("q9", "once", 31 * S, number=1, commit=True, row="z"))


def behind_then_served(records: Records) -> None:
    records.extend(request("q9", "own", 20 * S, rows=["q1"], outcome="BEHIND"))


ALLOWED = [
    attempt_within_the_grace,
    transaction_statement_within_the_grace,
    abandoned_in_time,
    listed_again,
    edge_killed,
    lost_effect_repeated,
    rejected_then_retried,
    behind_then_served,
]


@pytest.mark.parametrize("inject", ALLOWED, ids=[inject.__name__ for inject in ALLOWED])
def test_allowed_behaviour_is_no_violation(inject: Callable[[Records], None]) -> None:
    records = clean_records()
    inject(records)
    assert violated_rules(records) == set()


def test_recording_is_read_back_and_a_bad_line_is_reported_by_number(tmp_path: Path) -> None:
    path = tmp_path / "recording"
    with path.open("wb") as out:
        recorder = rec.Recorder(out)
        for record in clean_records():
            recorder(record)
    assert list(rec.read_recording(path)) == clean_records() == recorder.records
    with path.open("ab") as out:
        out.write(msgspec.json.encode({"type": "Nothing", "at": 1}) + b"\n")
    with pytest.raises(RecordingFormatError, match=f":{len(clean_records()) + 1}:"):
        list(rec.read_recording(path))

"""Tests of load plans, generated arrivals, and results."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.load.arrivals import sample_requests
from juniperreel.load.plan import parse_plan
from juniperreel.load.result_file import ENCODER, Attempt, ProcessUsage, RunStart, read_result
from juniperreel.load.summary import load_result
from juniperreel.settings import SettingsError
from juniperreel.verification.history import History
from juniperreel.verification.responses import check_responses

PLAN = """
[load]
target 127.0.0.1:7100
groups 3
sessions 50
skew 1.0
[class own-read]
part 75%
deadline 2s
worth 3
aim 600ms
late-worth 20%
[class run-write]
part 25%
deadline 4s
does write
worth 4
[tenant a]
part 60%
[tenant b]
part 40%
[stage calm]
rate 200
for 5s
[stage up]
rate 100
to 1000
for 10s
[stage hit]
burst 300
for 2s
[stage loop]
closed 8
for 1s
"""


def test_sampled_requests_follow_the_plan_and_are_deterministic() -> None:
    plan = parse_plan(PLAN.encode(), "plan")
    requests = sample_requests(plan)
    assert requests == sample_requests(plan)
    assert [request.due_us for request in requests] == sorted(request.due_us for request in requests)
    counts = [sum(request.stage == stage for request in requests) for stage in range(4)]
    assert abs(counts[0] - 1000) < 150
    assert abs(counts[1] - 5500) < 400
    assert counts[2:] == [300, 0]
    second_half_count = sum(request.stage == 1 and request.due_us > 10_000_000 for request in requests)
    assert second_half_count > 0.6 * counts[1], "the rate rises along the ramp"
    assert abs(sum(request.cls == 0 for request in requests) / len(requests) - 0.75) < 0.03
    assert abs(sum(request.tenant == 0 for request in requests) / len(requests) - 0.6) < 0.03
    most_popular_share = sum(request.session == 0 for request in requests) / len(requests)
    assert most_popular_share > 3 * sum(request.session == 10 for request in requests) / len(requests), (
        "sessions follow the Zipf skew"
    )


def test_invalid_plan_is_rejected_with_every_problem() -> None:
    invalid_plan = (
        PLAN.replace("rate 200", "rate 200\nclosed 5")
        .replace("deadline 4s", "deadline 0s")
        .replace("skew", "askew")
    )
    with pytest.raises(SettingsError) as error:
        parse_plan(invalid_plan.encode(), "plan")
    assert "askew" in str(error.value)
    with pytest.raises(SettingsError) as error:
        parse_plan(invalid_plan.replace("askew 1.0", "").encode(), "plan")
    text = str(error.value)
    assert "closed" in text
    assert "deadline" in text


def make_attempt(request: int, **fields: object) -> Attempt:
    values: dict[str, object] = {
        "due_us": request * 1000, "sent_us": request * 1000 + 10, "took_us": 50_000, "request": request,
        "attempt": 0, "stage": 0, "cls": 0, "tenant": 0, "session": request, "status": 0,
    }  # fmt: skip
    return Attempt(**(values | fields))  # type: ignore[arg-type]


def write_result(path: Path, *attempts: Attempt) -> Path:
    lines = [RunStart(1_700_000_000_000_000, PLAN), *attempts, ProcessUsage(1, "client 0", 0.99, 2000)]
    path.write_bytes(b"".join(ENCODER.encode(line) + b"\n" for line in lines))
    return path


def test_request_counts_once_by_its_last_attempt(tmp_path: Path) -> None:
    result = load_result(
        write_result(
            tmp_path / "r",
            make_attempt(1),
            make_attempt(2, status=14, retry_after_ms=200, reason="full"),
            make_attempt(2, attempt=1, due_us=300_000, took_us=40_000),
            make_attempt(3, status=8, retry_after_ms=100, took_us=3000, reason="full"),
            make_attempt(4, status=4, local=True, took_us=2_000_000),
            make_attempt(5, status=3, reason="bad"),
            make_attempt(6, took_us=700_000),
        )
    )
    count = result.stages()["calm"]
    assert (count.offered, count.attempts, count.served) == (6, 7, 3)
    assert (count.rejected, count.unanswered, count.failed) == (1, 1, 1)
    assert count.weight_earned == pytest.approx(3 + 3 + 0.2 * 3)
    assert count.weight_offered == 18
    assert count.response_percentile_ms(99) > 600, (
        "the latency of a retried request counts from its first attempt"
    )


def test_expired_deadline_without_response_violates_rule_1(tmp_path: Path) -> None:
    valid = load_result(
        write_result(tmp_path / "good", make_attempt(1), make_attempt(2, status=14, retry_after_ms=5))
    )
    assert check_responses(History.of(list(valid.records()))) == []
    unanswered = load_result(
        write_result(
            tmp_path / "bad", make_attempt(1), make_attempt(2, status=4, local=True, took_us=2_000_000)
        )
    )
    (violation,) = check_responses(History.of(list(unanswered.records())))
    assert "no answer" in violation.text
    late = load_result(write_result(tmp_path / "late", make_attempt(1, took_us=2_600_000)))
    assert "late" in check_responses(History.of(list(late.records())))[0].text


def test_report_and_compare_commands(tmp_path: Path) -> None:
    valid_path, violating_path = (
        write_result(tmp_path / "good", make_attempt(1)),
        write_result(tmp_path / "bad", make_attempt(1, status=4, local=True)),
    )
    plot = tmp_path / "plot.png"
    result = CliRunner().invoke(main, ["load", "report", str(valid_path), "--plot", str(plot)])
    assert result.exit_code == 0
    assert "rule 1, from the clients' side: held" in result.output
    assert "FULL" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    result = CliRunner().invoke(main, ["load", "report", str(violating_path)])
    assert result.exit_code == 1
    assert "BROKEN" in result.output
    result = CliRunner().invoke(main, ["load", "compare", str(valid_path), str(violating_path)])
    assert result.exit_code == 0
    assert "calm" in result.output
    (tmp_path / "torn").write_bytes(valid_path.read_bytes()[:-20])
    result = CliRunner().invoke(main, ["load", "report", str(tmp_path / "torn")])
    assert result.exit_code == 2
    assert "torn:3" in result.output


# Written by commit 5d30e02, where the types were named Start, Shot and Side.
STORED_RESULT = (
    b'{"type":"Start","at":5,"plan":"text","command":"c"}\n'
    b'{"type":"Shot","due":1,"sent":2,"took":3,"n":4,"number":5,"stage":6,"cls":7,"tenant":8,"session":9,'
    b'"status":10,"local":true,"wait":11,"tries":12,"why":"full"}\n'
    b'{"type":"Side","at":1,"name":"client 0","cpu":0.5,"late_us":2,"asked":3,"served":4,"refused":5}\n'
)


def test_stored_result_round_trips_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "old"
    path.write_bytes(STORED_RESULT)
    lines = list(read_result(path))
    assert lines == [
        RunStart(5, "text", "c"),
        Attempt(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, True, 11, 12, "full"),
        ProcessUsage(1, "client 0", 0.5, 2, 3, 4, 5),
    ]
    assert b"".join(ENCODER.encode(line) + b"\n" for line in lines) == STORED_RESULT

"""Plans, arrivals drawn ahead, and results."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.load.arrivals import draw_requests
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


def test_drawn_requests_follow_the_plan_and_are_the_same_each_time() -> None:
    plan = parse_plan(PLAN.encode(), "plan")
    dues = draw_requests(plan)
    assert dues == draw_requests(plan)
    assert [d.at_us for d in dues] == sorted(d.at_us for d in dues)
    counts = [sum(d.stage == n for d in dues) for n in range(4)]
    assert abs(counts[0] - 1000) < 150
    assert abs(counts[1] - 5500) < 400
    assert counts[2:] == [300, 0]
    late = sum(d.stage == 1 and d.at_us > 10_000_000 for d in dues)
    assert late > 0.6 * counts[1], "the ramp rises"
    assert abs(sum(d.cls == 0 for d in dues) / len(dues) - 0.75) < 0.03
    assert abs(sum(d.tenant == 0 for d in dues) / len(dues) - 0.6) < 0.03
    first = sum(d.session == 0 for d in dues) / len(dues)
    assert first > 3 * sum(d.session == 10 for d in dues) / len(dues), "the skew"


def test_bad_plan_is_rejected_with_every_problem() -> None:
    bad = (
        PLAN.replace("rate 200", "rate 200\nclosed 5")
        .replace("deadline 4s", "deadline 0s")
        .replace("skew", "askew")
    )
    with pytest.raises(SettingsError) as caught:
        parse_plan(bad.encode(), "plan")
    assert "askew" in str(caught.value)
    with pytest.raises(SettingsError) as caught:
        parse_plan(bad.replace("askew 1.0", "").encode(), "plan")
    text = str(caught.value)
    assert "closed" in text
    assert "deadline" in text


def attempt(request: int, **fields: object) -> Attempt:
    values: dict[str, object] = {
        "due_us": request * 1000, "sent_us": request * 1000 + 10, "took_us": 50_000, "request": request,
        "attempt": 0, "stage": 0, "cls": 0, "tenant": 0, "session": request, "status": 0,
    }  # fmt: skip
    return Attempt(**(values | fields))  # type: ignore[arg-type]


def written(path: Path, *attempts: Attempt) -> Path:
    lines = [RunStart(1_700_000_000_000_000, PLAN), *attempts, ProcessUsage(1, "client 0", 0.99, 2000)]
    path.write_bytes(b"".join(ENCODER.encode(line) + b"\n" for line in lines))
    return path


def test_request_counts_once_by_its_last_attempt(tmp_path: Path) -> None:
    result = load_result(
        written(
            tmp_path / "r",
            attempt(1),
            attempt(2, status=14, retry_after_ms=200, reason="full"),
            attempt(2, attempt=1, due_us=300_000, took_us=40_000),
            attempt(3, status=8, retry_after_ms=100, took_us=3000, reason="full"),
            attempt(4, status=4, local=True, took_us=2_000_000),
            attempt(5, status=3, reason="bad"),
            attempt(6, took_us=700_000),
        )
    )
    count = result.stages()["calm"]
    assert (count.offered, count.attempts, count.served) == (6, 7, 3)
    assert (count.rejected, count.unanswered, count.failed) == (1, 1, 1)
    assert count.weight_earned == pytest.approx(3 + 3 + 0.2 * 3)
    assert count.weight_offered == 18
    assert count.response_percentile_ms(99) > 600, "a retry's time counts from the first try's start"


def test_deadline_that_passes_without_an_answer_breaks_rule_1(tmp_path: Path) -> None:
    good = load_result(written(tmp_path / "good", attempt(1), attempt(2, status=14, retry_after_ms=5)))
    assert check_responses(History.of(list(good.records()))) == []
    bad = load_result(
        written(tmp_path / "bad", attempt(1), attempt(2, status=4, local=True, took_us=2_000_000))
    )
    (violation,) = check_responses(History.of(list(bad.records())))
    assert "no answer" in violation.text
    late = load_result(written(tmp_path / "late", attempt(1, took_us=2_600_000)))
    assert "late" in check_responses(History.of(list(late.records())))[0].text


def test_reports_and_comparisons_from_the_shell(tmp_path: Path) -> None:
    good, bad = (
        written(tmp_path / "good", attempt(1)),
        written(tmp_path / "bad", attempt(1, status=4, local=True)),
    )
    plot = tmp_path / "plot.png"
    result = CliRunner().invoke(main, ["load", "report", str(good), "--plot", str(plot)])
    assert result.exit_code == 0
    assert "rule 1, from the clients' side: held" in result.output
    assert "FULL" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    result = CliRunner().invoke(main, ["load", "report", str(bad)])
    assert result.exit_code == 1
    assert "BROKEN" in result.output
    result = CliRunner().invoke(main, ["load", "compare", str(good), str(bad)])
    assert result.exit_code == 0
    assert "calm" in result.output
    (tmp_path / "torn").write_bytes(good.read_bytes()[:-20])
    result = CliRunner().invoke(main, ["load", "report", str(tmp_path / "torn")])
    assert result.exit_code == 2
    assert "torn:3" in result.output


# Written by commit 5d30e02, whose types were Start, Shot and Side.
OLD_RESULT = (
    b'{"type":"Start","at":5,"plan":"text","command":"c"}\n'
    b'{"type":"Shot","due":1,"sent":2,"took":3,"n":4,"number":5,"stage":6,"cls":7,"tenant":8,"session":9,'
    b'"status":10,"local":true,"wait":11,"tries":12,"why":"full"}\n'
    b'{"type":"Side","at":1,"name":"client 0","cpu":0.5,"late_us":2,"asked":3,"served":4,"refused":5}\n'
)


def test_a_result_of_older_code_is_read_and_written_again_as_it_was(tmp_path: Path) -> None:
    path = tmp_path / "old"
    path.write_bytes(OLD_RESULT)
    lines = list(read_result(path))
    assert lines == [
        RunStart(5, "text", "c"),
        Attempt(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, True, 11, 12, "full"),
        ProcessUsage(1, "client 0", 0.5, 2, 3, 4, 5),
    ]
    assert b"".join(ENCODER.encode(line) + b"\n" for line in lines) == OLD_RESULT

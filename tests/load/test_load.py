"""Plans, arrivals drawn ahead, and results."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.load.plan import draw, parse_plan
from juniperreel.load.shots import ENCODER, Shot, Side, Start
from juniperreel.load.summary import load_result
from juniperreel.settings.lexer import SettingsError
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


def test_arrivals_are_the_plans_and_the_same_each_time() -> None:
    plan = parse_plan(PLAN.encode(), "plan")
    dues = draw(plan)
    assert dues == draw(plan)
    assert [d.at_us for d in dues] == sorted(d.at_us for d in dues)
    counts = [sum(d.stage == n for d in dues) for n in range(4)]
    assert abs(counts[0] - 1000) < 150 and abs(counts[1] - 5500) < 400 and counts[2:] == [300, 0]
    late = sum(d.stage == 1 and d.at_us > 10_000_000 for d in dues)
    assert late > 0.6 * counts[1], "the ramp rises"
    assert abs(sum(d.cls == 0 for d in dues) / len(dues) - 0.75) < 0.03
    assert abs(sum(d.tenant == 0 for d in dues) / len(dues) - 0.6) < 0.03
    first = sum(d.session == 0 for d in dues) / len(dues)
    assert first > 3 * sum(d.session == 10 for d in dues) / len(dues), "the skew"


def test_a_bad_plan_is_refused_with_every_problem() -> None:
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
    assert "closed" in text and "deadline" in text


def shot(n: int, **fields: object) -> Shot:
    values: dict[str, object] = {
        "due": n * 1000, "sent": n * 1000 + 10, "took": 50_000, "n": n, "number": 0, "stage": 0, "cls": 0,
        "tenant": 0, "session": n, "status": 0,
    }  # fmt: skip
    return Shot(**(values | fields))  # type: ignore[arg-type]


def written(path: Path, *shots: Shot) -> Path:
    lines = [Start(1_700_000_000_000_000, PLAN), *shots, Side(1, "client 0", 0.99, 2000)]
    path.write_bytes(b"".join(ENCODER.encode(line) + b"\n" for line in lines))
    return path


def test_a_request_counts_once_by_its_last_try(tmp_path: Path) -> None:
    result = load_result(
        written(
            tmp_path / "r",
            shot(1),
            shot(2, status=14, wait=200, why="full"),
            shot(2, number=1, due=300_000, took=40_000),
            shot(3, status=8, wait=100, took=3000, why="full"),
            shot(4, status=4, local=True, took=2_000_000),
            shot(5, status=3, why="bad"),
            shot(6, took=700_000),
        )
    )
    count = result.stages()["calm"]
    assert (count.offered, count.tries, count.served, count.refused, count.silent, count.failed) == (
        6, 7, 3, 1, 1, 1,
    )  # fmt: skip
    assert count.worth == pytest.approx(3 + 3 + 0.2 * 3) and count.worth_asked == 18
    assert count.p(99) > 600, "a retry's time counts from the first try's start"


def test_a_deadline_that_only_the_client_kept_breaks_rule_1(tmp_path: Path) -> None:
    good = load_result(written(tmp_path / "good", shot(1), shot(2, status=14, wait=5)))
    assert check_responses(History.of(list(good.records()))) == []
    bad = load_result(written(tmp_path / "bad", shot(1), shot(2, status=4, local=True, took=2_000_000)))
    (violation,) = check_responses(History.of(list(bad.records())))
    assert "no answer" in violation.text
    late = load_result(written(tmp_path / "late", shot(1, took=2_600_000)))
    assert "late" in check_responses(History.of(list(late.records())))[0].text


def test_reports_and_comparisons_from_the_shell(tmp_path: Path) -> None:
    good, bad = written(tmp_path / "good", shot(1)), written(tmp_path / "bad", shot(1, status=4, local=True))
    plot = tmp_path / "plot.png"
    told = CliRunner().invoke(main, ["load", "report", str(good), "--plot", str(plot)])
    assert told.exit_code == 0 and "rule 1, from the clients' side: held" in told.output
    assert "FULL" in told.output and plot.read_bytes().startswith(b"\x89PNG")
    told = CliRunner().invoke(main, ["load", "report", str(bad)])
    assert told.exit_code == 1 and "BROKEN" in told.output
    told = CliRunner().invoke(main, ["load", "compare", str(good), str(bad)])
    assert told.exit_code == 0 and "calm" in told.output
    (tmp_path / "torn").write_bytes(good.read_bytes()[:-20])
    told = CliRunner().invoke(main, ["load", "report", str(tmp_path / "torn")])
    assert told.exit_code == 2 and "torn:3" in told.output

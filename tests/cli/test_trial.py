"""`juniperreel trial` as operators type it."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from juniperreel.cli.main import main

DAY = """
groups 1
members 4
edges 3
sessions 12
last 5s
list-delay 200ms
at 1s edge-kill edge/0 back 500ms
at 2s for 1s link-cut edge/1 to g0/2
"""


def test_trial_run_prints_verdicts_that_its_recording_gives_again(tmp_path: Path) -> None:
    (tmp_path / "day").write_text(DAY)
    recording = tmp_path / "recording"
    done = CliRunner().invoke(
        main, ["trial", "run", str(tmp_path / "day"), "--pause", "0.1", "--record", str(recording)]
    )
    assert done.exit_code == 0, done.output
    assert done.output.count(": held") == 5
    assert "probes" in done.output
    (row,) = [line for line in done.output.splitlines() if line.split()[:2] == ["0", "3"]]
    again = CliRunner().invoke(main, ["trial", "spread", str(recording)])
    assert again.exit_code == 0
    assert row in again.output.splitlines()
    stepped = CliRunner().invoke(main, ["trial", "spread", str(recording), "--step", "1"])
    shares = {fields[0]: fields[1:] for fields in map(str.split, stepped.output.splitlines()[-3:])}
    assert set(shares) == {"g0-m1", "g0-m2", "g0-m3"}
    assert all(len(s) >= 4 for s in shares.values())


def test_bad_script_is_rejected_with_every_line_at_fault(tmp_path: Path) -> None:
    (tmp_path / "day").write_text("groups many\nat 1s fly edge/0\n")
    done = CliRunner().invoke(main, ["trial", "run", str(tmp_path / "day")])
    assert done.exit_code == 2
    assert "line 1" in done.output
    assert "line 2" in done.output
    (tmp_path / "bad").write_text("no record\n")
    assert CliRunner().invoke(main, ["trial", "spread", str(tmp_path / "bad")]).exit_code == 2


SHORT = """
groups 1
members 3
edges 2
sessions 6
last 5s
list-delay 100ms
at 500ms for 4s lag g0 1e5
at 600ms for 200ms link-slow edge/0 to all 5ms
"""
# Planted: data of any age will do.
AGELESS = """
import sys
from juniperreel.routing.policy.freshness import (Freshness)
from juniperreel.platform.run import (main)
from juniperreel.platform.signal_queue import (SignalQueue)
Freshness.is_fresh_enough = lambda *_: True
sys.exit(main(SignalQueue()))
"""


def test_hunt_removes_folders_of_seeds_that_break_no_rule(tmp_path: Path) -> None:
    (tmp_path / "quiet.day").write_text("groups 1\nmembers 3\nedges 2\nsessions 4\nlast 2s\n")
    out = tmp_path / "found"
    done = CliRunner().invoke(
        main, ["trial", "hunt", str(tmp_path / "quiet.day"), "--seeds", "2", "--out", str(out)]
    )
    assert done.exit_code == 0, done.output
    assert "2 seeds, no rule broken" in done.output, done.output
    assert list(out.iterdir()) == []


def test_hunt_finds_a_planted_bug_and_shrink_reduces_its_script(tmp_path: Path) -> None:
    (tmp_path / "short.day").write_text(SHORT)
    (tmp_path / "ageless.py").write_text(AGELESS)
    driver = ["--driver", str(tmp_path / "ageless.py"), "--pause", "0.05"]
    day = str(tmp_path / "short.day")
    out = tmp_path / "found"
    done = CliRunner().invoke(main, ["trial", "hunt", day, "--seeds", "3", "--out", str(out), *driver])
    assert done.exit_code == 1, done.output
    assert "broke rule 5" in done.output, done.output
    (failure_folder,) = out.iterdir()
    assert {"script.day", "recording", "n0.log"} <= {p.name for p in failure_folder.iterdir()}
    smaller = tmp_path / "small.day"
    arguments = [
        "trial",
        "shrink",
        str(failure_folder / "script.day"),
        "--rule",
        "5",
        "--plays",
        "2",
        "--out",
        str(smaller),
    ]
    done = CliRunner().invoke(main, [*arguments, *driver])
    assert done.exit_code == 0, done.output
    assert "1 of 2 faults are left" in done.output, done.output
    assert "lag g0" in smaller.read_text()
    assert "link-slow" not in smaller.read_text()
    done = CliRunner().invoke(
        main, ["trial", "picture", str(failure_folder / "recording"), str(tmp_path / "day.png")]
    )
    assert done.exit_code == 0, done.output
    assert (tmp_path / "day.png").stat().st_size > 10_000, done.output


def test_picture_without_requests_and_missing_driver_file_end_with_2(tmp_path: Path) -> None:
    (tmp_path / "empty").write_text("")
    (tmp_path / "day").write_text(DAY)
    done = CliRunner().invoke(main, ["trial", "picture", str(tmp_path / "empty"), str(tmp_path / "x.png")])
    assert done.exit_code == 2
    assert "nothing was asked" in done.output
    done = CliRunner().invoke(main, ["trial", "run", str(tmp_path / "day"), "--driver", "nowhere.py x"])
    assert done.exit_code == 2
    assert "nowhere.py is no file" in done.output

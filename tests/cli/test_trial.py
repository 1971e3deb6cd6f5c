"""Tests of `juniperreel trial`."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from juniperreel.cli.main import main

SCRIPT = """
groups 1
members 4
edges 3
sessions 12
last 5s
list-delay 200ms
at 1s edge-kill edge/0 back 500ms
at 2s for 1s link-cut edge/1 to g0/2
"""


def test_trial_run_and_its_recording_give_the_same_report(tmp_path: Path) -> None:
    (tmp_path / "script").write_text(SCRIPT)
    recording = tmp_path / "recording"
    result = CliRunner().invoke(
        main, ["trial", "run", str(tmp_path / "script"), "--pause", "0.1", "--record", str(recording)]
    )
    assert result.exit_code == 0, result.output
    assert result.output.count(": held") == 5
    assert "probes" in result.output
    (group_row,) = [line for line in result.output.splitlines() if line.split()[:2] == ["0", "3"]]
    spread_result = CliRunner().invoke(main, ["trial", "spread", str(recording)])
    assert spread_result.exit_code == 0
    assert group_row in spread_result.output.splitlines()
    step_result = CliRunner().invoke(main, ["trial", "spread", str(recording), "--step", "1"])
    shares = {fields[0]: fields[1:] for fields in map(str.split, step_result.output.splitlines()[-3:])}
    assert set(shares) == {"g0-m1", "g0-m2", "g0-m3"}
    assert all(len(row_shares) >= 4 for row_shares in shares.values())


def test_invalid_script_is_rejected_with_every_invalid_line(tmp_path: Path) -> None:
    (tmp_path / "script").write_text("groups many\nat 1s fly edge/0\n")
    result = CliRunner().invoke(main, ["trial", "run", str(tmp_path / "script")])
    assert result.exit_code == 2
    assert "line 1" in result.output
    assert "line 2" in result.output
    (tmp_path / "bad").write_text("no record\n")
    assert CliRunner().invoke(main, ["trial", "spread", str(tmp_path / "bad")]).exit_code == 2


STALE_READ_SCRIPT = """
groups 1
members 3
edges 2
sessions 6
last 5s
list-delay 100ms
at 500ms for 4s lag g0 1e5
at 600ms for 200ms link-slow edge/0 to all 5ms
"""
# A driver with an injected bug: it accepts reads of any staleness.
UNCHECKED_STALENESS_DRIVER = """
import sys
from juniperreel.routing.policy.freshness import (Freshness)
from juniperreel.platform.run import (main)
from juniperreel.platform.signal_queue import (SignalQueue)
Freshness.is_fresh_enough = lambda *_: True
sys.exit(main(SignalQueue()))
"""


def test_hunt_removes_folders_of_seeds_that_break_no_rule(tmp_path: Path) -> None:
    (tmp_path / "no_faults.day").write_text("groups 1\nmembers 3\nedges 2\nsessions 4\nlast 2s\n")
    out = tmp_path / "found"
    result = CliRunner().invoke(
        main, ["trial", "hunt", str(tmp_path / "no_faults.day"), "--seeds", "2", "--out", str(out)]
    )
    assert result.exit_code == 0, result.output
    assert "2 seeds, no rule broken" in result.output, result.output
    assert list(out.iterdir()) == []


def test_hunt_finds_an_injected_bug_and_shrink_reduces_its_script(tmp_path: Path) -> None:
    (tmp_path / "short.day").write_text(STALE_READ_SCRIPT)
    (tmp_path / "unchecked_staleness.py").write_text(UNCHECKED_STALENESS_DRIVER)
    driver = ["--driver", str(tmp_path / "unchecked_staleness.py"), "--pause", "0.05"]
    script = str(tmp_path / "short.day")
    out = tmp_path / "found"
    result = CliRunner().invoke(main, ["trial", "hunt", script, "--seeds", "3", "--out", str(out), *driver])
    assert result.exit_code == 1, result.output
    assert "broke rule 5" in result.output, result.output
    (failure_folder,) = out.iterdir()
    assert {"script.day", "recording", "n0.log"} <= {p.name for p in failure_folder.iterdir()}
    reduced_script = tmp_path / "small.day"
    arguments = [
        "trial",
        "shrink",
        str(failure_folder / "script.day"),
        "--rule",
        "5",
        "--plays",
        "2",
        "--out",
        str(reduced_script),
    ]
    result = CliRunner().invoke(main, [*arguments, *driver])
    assert result.exit_code == 0, result.output
    assert "1 of 2 faults are left" in result.output, result.output
    assert "lag g0" in reduced_script.read_text()
    assert "link-slow" not in reduced_script.read_text()
    result = CliRunner().invoke(
        main, ["trial", "picture", str(failure_folder / "recording"), str(tmp_path / "picture.png")]
    )
    assert result.exit_code == 0, result.output
    assert (tmp_path / "picture.png").stat().st_size > 10_000, result.output


def test_picture_without_requests_and_missing_driver_file_exit_with_status_2(tmp_path: Path) -> None:
    (tmp_path / "empty").write_text("")
    (tmp_path / "script").write_text(SCRIPT)
    result = CliRunner().invoke(main, ["trial", "picture", str(tmp_path / "empty"), str(tmp_path / "x.png")])
    assert result.exit_code == 2
    assert "nothing was asked" in result.output
    result = CliRunner().invoke(main, ["trial", "run", str(tmp_path / "script"), "--driver", "nowhere.py x"])
    assert result.exit_code == 2
    assert "nowhere.py is not a file" in result.output

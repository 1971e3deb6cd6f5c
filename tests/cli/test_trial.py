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


def test_a_trial_is_played_judged_and_read_again(tmp_path: Path) -> None:
    (tmp_path / "day").write_text(DAY)
    recording = tmp_path / "recording"
    done = CliRunner().invoke(
        main, ["trial", "run", str(tmp_path / "day"), "--pause", "0.1", "--record", str(recording)]
    )
    assert done.exit_code == 0, done.output
    assert done.output.count(": held") == 5 and "probes" in done.output
    (row,) = [line for line in done.output.splitlines() if line.split()[:2] == ["0", "3"]]
    again = CliRunner().invoke(main, ["trial", "spread", str(recording)])
    assert again.exit_code == 0 and row in again.output.splitlines()


def test_a_script_that_cannot_be_played_is_told_with_every_line(tmp_path: Path) -> None:
    (tmp_path / "day").write_text("groups many\nat 1s fly edge/0\n")
    done = CliRunner().invoke(main, ["trial", "run", str(tmp_path / "day")])
    assert done.exit_code == 2
    assert "line 1" in done.output and "line 2" in done.output
    (tmp_path / "bad").write_text("no record\n")
    assert CliRunner().invoke(main, ["trial", "spread", str(tmp_path / "bad")]).exit_code == 2

"""The settings file of a configuration instance (configd)."""

from __future__ import annotations

from pathlib import Path

import pytest

from juniperreel.settings import Problem, SettingsError
from juniperreel.settings.configd import InstanceSettings, read_instance

VALID = (Path(__file__).parents[2] / "deploy" / "configd.conf").read_text(encoding="utf-8")


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    (tmp_path / "cluster.key").write_bytes(b"k" * 32)
    return tmp_path


def load(directory: Path, text: str) -> InstanceSettings:
    (directory / "c.conf").write_text(text, encoding="utf-8")
    return read_instance(directory / "c.conf")


def test_example_file_is_read(directory: Path) -> None:
    settings = load(directory, VALID)
    assert settings.listen == ("127.0.0.1", 7301)
    assert len(settings.members) == 3


@pytest.mark.parametrize(
    "old, new, reason",
    [
        ("name c1@127.0.0.1:7301", "name c1", "name@host:port"),
        ("member c3@127.0.0.1:7303", "", "odd number"),
        ("member c3@127.0.0.1:7303", "member c2@127.0.0.1:7302", "odd number"),
        ("key cluster.key", "key none.key", "cannot be read"),
        ("tick 30ms", "tick 5s", "tick"),
        ("election-ticks 10", "election-ticks 1", "election-ticks"),
        ("cluster westrun", "", "cluster is missing"),
    ],
)
def test_invalid_file_is_rejected(directory: Path, old: str, new: str, reason: str) -> None:
    with pytest.raises(SettingsError, match=reason):
        load(directory, VALID.replace(old, new, 1))


def test_two_errors_of_one_line_of_which_one_breaks_a_rule_are_both_reported() -> None:
    """Guards against an order of errors that compares the number of a rule with its absence."""
    problems = [Problem(3, "the same reason", 3), Problem(3, "the same reason"), Problem(2, "another")]
    error = SettingsError("edge.conf", problems)
    assert [problem.line for problem in error.problems] == [2, 3, 3]
    assert str(error).count("the same reason") == 2

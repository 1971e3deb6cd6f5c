"""Errors in settings files, and the service rules that settings can break."""

from __future__ import annotations

from dataclasses import dataclass

RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains are observed",
    4: "no warming endpoint is overloaded",
    5: "no stale read",
}


class InvalidValueError(ValueError):
    """An argument of a directive is invalid. The message gives the reason."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file.

    Attributes:
        line: Line number, starting at 1.
        reason: Description of the error.
        rule: Number of the entry of RULES that the setting would break, if any.
    """

    line: int
    reason: str
    rule: int | None = None

    def format(self, file: str) -> str:
        """Format the problem like a compiler error: file, line, reason."""
        broken_rule = f" (would break rule {self.rule}: {RULES[self.rule]})" if self.rule else ""
        return f"{file}:{self.line}: {self.reason}{broken_rule}"


class SettingsError(Exception):
    """A settings file is invalid.

    Attributes:
        file: Name of the file.
        problems: All its problems, sorted by line.
    """

    def __init__(self, file: str, problems: list[Problem]) -> None:
        self.file = file
        self.problems = sorted(problems, key=lambda problem: (problem.line, problem.reason))
        super().__init__("\n".join(problem.format(file) for problem in self.problems))

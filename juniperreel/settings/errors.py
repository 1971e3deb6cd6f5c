"""What can be wrong with a settings file."""

from __future__ import annotations

from dataclasses import dataclass

RULES = {
    1: "one final answer, before the deadline",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold member is pushed over",
    5: "no stale read",
}


class InvalidValueError(ValueError):
    """An argument of a directive is not of the directive's type. The text says why."""


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One error in a settings file.

    Attributes:
        line: Where it is, from 1.
        reason: What is wrong.
        rule: Which of the service's RULES the setting would break, if any.
    """

    line: int
    reason: str
    rule: int | None = None

    def format(self, file: str) -> str:
        """The problem as a line of text, in the form of compilers: file, line, reason."""
        broken_rule = f" (would break rule {self.rule}: {RULES[self.rule]})" if self.rule else ""
        return f"{file}:{self.line}: {self.reason}{broken_rule}"


class SettingsError(Exception):
    """A settings file was rejected as a whole.

    Attributes:
        file: Its name.
        problems: All that is wrong with it, by line.
    """

    def __init__(self, file: str, problems: list[Problem]) -> None:
        self.file = file
        self.problems = sorted(problems)
        super().__init__("\n".join(problem.format(file) for problem in self.problems))

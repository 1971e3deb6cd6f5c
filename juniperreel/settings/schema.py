"""Which sections and directives a file may have, and how they are read into values.

A `DirectiveSpec` names the types of a directive's arguments and whether it is required. Reading yields
`SectionValues` for each section: typed values, with the lines that they came from.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from juniperreel.settings.errors import InvalidValueError, Problem
from juniperreel.settings.lexer import Directive, Section

REQUIRED: Any = object()
QUOTED_LENGTH = 60  # of a directive's name in an error's text


@dataclass(frozen=True, slots=True)
class DirectiveSpec:
    """One directive.

    Attributes:
        parsers: One for each argument. With a single one, the directive's value is its result; with several,
            a tuple.
        default: The value where the directive is missing.
        min_arguments: Arguments after this many are optional; None if none is.
        repeated: Whether it may occur many times; its value is then a list with one item for each.
    """

    parsers: tuple[Callable[[str], Any], ...]
    default: Any = REQUIRED
    min_arguments: int | None = None
    repeated: bool = False

    def parse(self, arguments: tuple[str, ...]) -> Any:
        """The value of one occurrence.

        Raises:
            InvalidValueError: There are too few or too many arguments, or one is invalid.
        """
        most = len(self.parsers)
        least = most if self.min_arguments is None else self.min_arguments
        if not least <= len(arguments) <= most:
            count = str(least) if least == most else f"{least} to {most}"
            raise WrongArgumentCountError(f"takes {count} words; {len(arguments)} are given")
        values = tuple(parse(argument) for parse, argument in zip(self.parsers, arguments, strict=False))
        return values[0] if most == 1 else values


class WrongArgumentCountError(InvalidValueError):
    """A directive has too few or too many arguments."""


def single(parser: Callable[[str], Any], default: Any = REQUIRED) -> DirectiveSpec:
    """A directive with one argument."""
    return DirectiveSpec((parser,), default)


@dataclass(frozen=True, slots=True)
class SectionSpec:
    """One kind of section.

    Attributes:
        directives: By name.
        named: Whether there may be many, each with a name of its own.
        required: Whether the file must have one.
    """

    directives: Mapping[str, DirectiveSpec]
    named: bool = False
    required: bool = True


class SectionValues:
    """The values of one section by directive, and their lines.

    Attributes:
        name: Of a named section; else empty.
        line: Of the section's heading; 1 where the file has no such section.
        values: By directive; also those that have their default.
        lines: By directive, of the last occurrence; only those that the file has.
    """

    def __init__(self, section: Section) -> None:
        self.name = section.name or ""
        self.line = section.line
        self.values: dict[str, Any] = {}
        self.lines: dict[str, int] = {}
        self._lines_of_repeated: dict[str, list[int]] = {}

    def __getitem__(self, directive: str) -> Any:
        return self.values[directive]

    def line_of(self, directive: str) -> int:
        """The directive's line, or the section's where it is missing."""
        return self.lines.get(directive, self.line)

    def lines_of(self, directive: str) -> list[int]:
        """The lines of a repeated directive, one for each of its values."""
        return self._lines_of_repeated.get(directive, [])

    def problem(self, directive: str, reason: str, rule: int | None = None) -> Problem:
        """A problem at the directive's line."""
        return Problem(self.line_of(directive), reason, rule)

    def add_repeated(self, directive: Directive, value: Any) -> None:
        """Add one occurrence of a repeated directive."""
        self.values.setdefault(directive.name, []).append(value)
        self._lines_of_repeated.setdefault(directive.name, []).append(directive.line)


FileValues = dict[str, list[SectionValues]]


def read_sections(
    sections: list[Section], specs: Mapping[str, SectionSpec], problems: list[Problem]
) -> FileValues:
    """The sections of a file by kind, in order. Adds what is wrong to `problems`.

    Of each kind that is not named there is exactly one, with its defaults if the file has none.
    """
    found: FileValues = {kind: [] for kind in specs}
    for section in sections:
        spec = specs.get(section.kind)
        if spec is None:
            known = ", ".join(specs)
            reason = f"no section is called {section.kind!r}; there are {known}"
            problems.append(Problem(section.line, reason))
            continue
        problem = _heading_problem(section, spec, found[section.kind])
        if problem is not None:
            problems.append(problem)
            continue
        found[section.kind].append(read_section(section, spec, problems))
    for kind, spec in specs.items():
        if found[kind]:
            continue
        if spec.required:
            problems.append(Problem(1, f"section {kind!r} is missing"))
        if not spec.named:
            # Its required directives are only reported for a section that the file has.
            found[kind].append(read_section(Section(kind, None, 1), spec, []))
    return found


def _heading_problem(section: Section, spec: SectionSpec, earlier: list[SectionValues]) -> Problem | None:
    if spec.named != (section.name is not None):
        need = "needs a name" if spec.named else "takes no name"
        return Problem(section.line, f"section {section.kind!r} {need}")
    name = section.name or ""
    for other in earlier:
        if other.name == name:
            heading = f"section {section.kind} {name}".strip()
            return Problem(section.line, f"{heading} is already set in line {other.line}")
    return None


def read_section(section: Section, spec: SectionSpec, problems: list[Problem]) -> SectionValues:
    """The values of one section. Adds what is wrong to `problems`."""
    values = SectionValues(section)
    for directive in section.directives:
        try:
            _read_directive(directive, section, spec, values)
        except InvalidValueError as error:
            problems.append(Problem(directive.line, str(error)))
    for name, directive_spec in spec.directives.items():
        if name in values.values:
            continue
        if directive_spec.default is not REQUIRED:
            values.values[name] = directive_spec.default
        elif name not in values.lines:
            heading = f"[{section.kind}{' ' + section.name if section.name else ''}]"
            problems.append(Problem(section.line, f"{name} is missing in {heading}"))
    return values


def _read_directive(directive: Directive, section: Section, spec: SectionSpec, values: SectionValues) -> None:
    """Add one directive to `values`. Raises InvalidValueError with the whole reason."""
    name = directive.name
    directive_spec = spec.directives.get(name)
    if directive_spec is None:
        known = ", ".join(spec.directives)
        quoted = repr(name[:QUOTED_LENGTH])
        raise InvalidValueError(f"{section.kind}: no directive is called {quoted}; there are {known}")
    if name in values.lines and not directive_spec.repeated:
        raise InvalidValueError(f"{name} is already set in line {values.lines[name]}")
    values.lines[name] = directive.line
    try:
        value = directive_spec.parse(directive.arguments)
    except WrongArgumentCountError as error:
        raise InvalidValueError(f"{name} {error}") from error
    except InvalidValueError as error:
        raise InvalidValueError(f"{name}: {error}") from error
    if directive_spec.repeated:
        values.add_repeated(directive, value)
    else:
        values.values[name] = value

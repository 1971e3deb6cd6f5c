"""Schemas for settings files: which sections and directives a file may have, and how they are parsed.

A `DirectiveSpec` defines the types of a directive's arguments and whether it is required. Each section is
parsed into a `SectionValues`: typed values and their line numbers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from juniperreel.settings.errors import InvalidValueError, Problem
from juniperreel.settings.lexer import Directive, Section

REQUIRED: Any = object()
QUOTED_LENGTH = 60  # characters of a directive's name quoted in an error


@dataclass(frozen=True, slots=True)
class DirectiveSpec:
    """The schema of a directive.

    Attributes:
        parsers: One per argument. With one parser the value is its result, with several a tuple.
        default: Value if the directive is missing.
        min_arguments: Number of required arguments; None if all are required.
        repeated: Whether it may occur more than once; its value is then a list with one item per occurrence.
    """

    parsers: tuple[Callable[[str], Any], ...]
    default: Any = REQUIRED
    min_arguments: int | None = None
    repeated: bool = False

    def parse(self, arguments: tuple[str, ...]) -> Any:
        """Parse the arguments of one occurrence.

        Raises:
            InvalidValueError: The number of arguments is wrong, or one is invalid.
        """
        max_count = len(self.parsers)
        min_count = max_count if self.min_arguments is None else self.min_arguments
        if not min_count <= len(arguments) <= max_count:
            count = str(min_count) if min_count == max_count else f"{min_count} to {max_count}"
            raise WrongArgumentCountError(f"takes {count} argument(s), got {len(arguments)}")
        values = tuple(parse(argument) for parse, argument in zip(self.parsers, arguments, strict=False))
        return values[0] if max_count == 1 else values


class WrongArgumentCountError(InvalidValueError):
    """A directive has the wrong number of arguments."""


def single(parser: Callable[[str], Any], default: Any = REQUIRED) -> DirectiveSpec:
    """Return the schema of a directive with one argument."""
    return DirectiveSpec((parser,), default)


@dataclass(frozen=True, slots=True)
class SectionSpec:
    """The schema of a section.

    Attributes:
        directives: Directive schemas by name.
        named: Whether sections of this kind have names; there may be several, each with a unique name.
        required: Whether the file must have a section of this kind.
    """

    directives: Mapping[str, DirectiveSpec]
    named: bool = False
    required: bool = True


class SectionValues:
    """The values of a section by directive, and their line numbers.

    Attributes:
        name: Name of the section; empty if it has none.
        line: Line of the heading; 1 if the file has no such section.
        values: Values by directive, including defaults.
        lines: Line of the last occurrence by directive; only directives present in the file.
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
        """Return the directive's line, or the section's line if the directive is missing."""
        return self.lines.get(directive, self.line)

    def lines_of(self, directive: str) -> list[int]:
        """Return the lines of a repeated directive, one per value."""
        return self._lines_of_repeated.get(directive, [])

    def problem(self, directive: str, reason: str, rule: int | None = None) -> Problem:
        """Return a problem located at the directive's line."""
        return Problem(self.line_of(directive), reason, rule)

    def add_repeated(self, directive: Directive, value: Any) -> None:
        """Add one occurrence of a repeated directive."""
        self.values.setdefault(directive.name, []).append(value)
        self._lines_of_repeated.setdefault(directive.name, []).append(directive.line)


FileValues = dict[str, list[SectionValues]]


def read_sections(
    sections: list[Section], specs: Mapping[str, SectionSpec], problems: list[Problem]
) -> FileValues:
    """Parse the sections of a file, by kind and in file order. Appends errors to `problems`.

    The result has exactly one section of each unnamed kind, with default values if the file has none.
    """
    found: FileValues = {kind: [] for kind in specs}
    for section in sections:
        spec = specs.get(section.kind)
        if spec is None:
            known = ", ".join(specs)
            reason = f"unknown section {section.kind!r}; known sections: {known}"
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
            # Missing directives are reported only for sections that are present in the file.
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
    """Parse a section. Appends errors to `problems`."""
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
    """Parse a directive into `values`. The message of InvalidValueError is the complete reason."""
    name = directive.name
    directive_spec = spec.directives.get(name)
    if directive_spec is None:
        known = ", ".join(spec.directives)
        quoted = repr(name[:QUOTED_LENGTH])
        raise InvalidValueError(f"{section.kind}: unknown directive {quoted}; known directives: {known}")
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

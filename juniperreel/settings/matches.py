"""The `match` directive, which assigns statements of the MySQL front end to classes and tenants.

    match read|write [user NAME] [schema NAME] [hint NAME] [digest HEX] class NAME [tenant NAME]

The first matching line wins.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from juniperreel.settings.edge_settings import StatementMatch
from juniperreel.settings.errors import InvalidValueError, Problem
from juniperreel.settings.schema import SectionValues

CONDITIONS = ("user", "schema", "hint", "digest")
RESULTS = ("class", "tenant")
DIGEST_DIGITS = 16
HEX_DIGITS = frozenset("0123456789abcdef")
QUOTED_LENGTH = 40  # characters of an argument quoted in an error


def read_matches(
    section: SectionValues, classes: Mapping[str, bool], tenants: Sequence[str], problems: list[Problem]
) -> tuple[StatementMatch, ...]:
    """Read the `match` directives in file order. Appends errors to `problems`.

    Args:
        section: The section of the MySQL front end.
        classes: Whether each class writes, by class name.
        tenants: Names of all tenants.
        problems: Problems of the file.
    """
    matches = []
    for line, arguments in zip(section.lines_of("match"), section["match"], strict=True):
        try:
            match = parse_match(arguments)
        except InvalidValueError as error:
            problems.append(Problem(line, f"match: {error}"))
            continue
        problems += reference_problems(match, line, classes, tenants)
        matches.append(match)
    return tuple(matches)


def reference_problems(
    match: StatementMatch, line: int, classes: Mapping[str, bool], tenants: Sequence[str]
) -> list[Problem]:
    """Return problems with the class and the tenant that a match refers to."""
    problems = []
    class_writes = classes.get(match.class_name)
    if class_writes is None:
        problems.append(Problem(line, f"match: unknown class {match.class_name!r}"))
    elif class_writes != match.write:
        # A write in a read class would be sent to a replica, and a read in a write class would have no
        # staleness bound.
        verb = "writes" if class_writes else "does not write"
        problems.append(Problem(line, f"match: class {match.class_name} {verb}", 2 if match.write else 5))
    if match.tenant is not None and match.tenant not in tenants:
        problems.append(Problem(line, f"match: unknown tenant {match.tenant!r}"))
    return problems


def parse_match(arguments: Sequence[str]) -> StatementMatch:
    """Parse the arguments of a `match` directive.

    Raises:
        InvalidValueError: The match is malformed, or has no condition or no class.
    """
    if arguments[0] not in ("read", "write"):
        raise InvalidValueError(f"expected read or write first, not {_quoted(arguments[0])}")
    if len(arguments) % 2 == 0:
        raise InvalidValueError(f"{_quoted(arguments[-1])} has no value")
    options = _parse_options(arguments[1:])
    digest = options.get("digest")
    if digest is not None and (len(digest) != DIGEST_DIGITS or not HEX_DIGITS.issuperset(digest)):
        raise InvalidValueError(
            f"a digest has {DIGEST_DIGITS} hexadecimal digits, as printed by `juniperreel statement`"
        )
    if "class" not in options:
        raise InvalidValueError("class is missing")
    if options.keys().isdisjoint(CONDITIONS):
        raise InvalidValueError(f"no condition: at least one of {', '.join(CONDITIONS)} is required")
    return StatementMatch(
        write=arguments[0] == "write",
        user=options.get("user"),
        schema=options.get("schema"),
        hint=options.get("hint"),
        digest=digest,
        class_name=options["class"],
        tenant=options.get("tenant"),
    )


def _parse_options(arguments: Sequence[str]) -> dict[str, str]:
    """Parse pairs of a condition or result and its value."""
    options: dict[str, str] = {}
    for name, value in zip(arguments[::2], arguments[1::2], strict=True):
        if name not in CONDITIONS + RESULTS:
            raise InvalidValueError(f"{_quoted(name)} is not one of {', '.join(CONDITIONS + RESULTS)}")
        if name in options:
            raise InvalidValueError(f"{name} is set twice")
        options[name] = value
    return options


def _quoted(argument: str) -> str:
    return repr(argument[:QUOTED_LENGTH])

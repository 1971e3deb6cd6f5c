"""The `match` directive: which statements of the MySQL frontend belong to another class or tenant.

    match read|write [user NAME] [schema NAME] [hint NAME] [digest HEX] class NAME [tenant NAME]

The first line that matches decides.
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
QUOTED_LENGTH = 40  # of an argument in an error's text


def read_matches(
    section: SectionValues, classes: Mapping[str, bool], tenants: Sequence[str], problems: list[Problem]
) -> tuple[StatementMatch, ...]:
    """The matches in their order. Adds what is wrong to `problems`.

    Args:
        section: The section of the MySQL frontend.
        classes: Whether a class writes, by its name.
        tenants: All tenants' names.
        problems: What is wrong with the file.
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
    """Problems with the class and the tenant that a match names."""
    problems = []
    class_writes = classes.get(match.class_name)
    if class_writes is None:
        problems.append(Problem(line, f"match: no class is called {match.class_name!r}"))
    elif class_writes != match.write:
        # Danger: a write in a class that reads would go to a replica, and a read in a class that writes has
        # no bound on how stale its data may be.
        verb = "writes" if class_writes else "does not write"
        problems.append(Problem(line, f"match: class {match.class_name} {verb}", 2 if match.write else 5))
    if match.tenant is not None and match.tenant not in tenants:
        problems.append(Problem(line, f"match: no tenant is called {match.tenant!r}"))
    return problems


def parse_match(arguments: Sequence[str]) -> StatementMatch:
    """One match from the directive's arguments.

    Raises:
        InvalidValueError: It is malformed, or has no condition or no class.
    """
    if arguments[0] not in ("read", "write"):
        raise InvalidValueError(f"read or write comes first, not {_quoted(arguments[0])}")
    if len(arguments) % 2 == 0:
        raise InvalidValueError(f"{_quoted(arguments[-1])} has no value")
    options = _parse_options(arguments[1:])
    digest = options.get("digest")
    if digest is not None and (len(digest) != DIGEST_DIGITS or not HEX_DIGITS.issuperset(digest)):
        raise InvalidValueError(
            f"a digest has {DIGEST_DIGITS} digits, as `juniperreel statement` prints them"
        )
    if "class" not in options:
        raise InvalidValueError("class is missing")
    if options.keys().isdisjoint(CONDITIONS):
        raise InvalidValueError(f"nothing to match: one of {', '.join(CONDITIONS)} is needed")
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
    """Pairs of a condition or result, and its value."""
    options: dict[str, str] = {}
    for name, value in zip(arguments[::2], arguments[1::2], strict=True):
        if name not in CONDITIONS + RESULTS:
            raise InvalidValueError(f"{_quoted(name)} is none of {', '.join(CONDITIONS + RESULTS)}")
        if name in options:
            raise InvalidValueError(f"{name} is given twice")
        options[name] = value
    return options


def _quoted(argument: str) -> str:
    return repr(argument[:QUOTED_LENGTH])

"""Parsers for the arguments of directives. Each parses one argument or raises InvalidValueError."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import NamedTuple

from juniperreel.settings.errors import InvalidValueError

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m)\Z")
DURATION_UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000}
SIZE = re.compile(r"([0-9]+)(B|KiB|MiB|GiB)\Z")
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
MAX_PORT = 65535
MAX_INTEGER_DIGITS = 18
MAX_NAME_LENGTH = 200
QUOTED_LENGTH = 40  # characters of an invalid value quoted in an error
QUOTED_ADDRESS_LENGTH = 60


class Address(NamedTuple):
    """A host and a TCP port."""

    host: str
    port: int


def parse_duration(argument: str) -> int:
    """Parse a duration such as 250ms into microseconds."""
    match = DURATION.match(argument)
    if match is None:
        raise InvalidValueError(f"{_quoted(argument)} is not a duration such as 250ms, 2s or 1m")
    return round(float(match[1]) * DURATION_UNITS_US[match[2]])


def parse_size(argument: str) -> int:
    """Parse a size such as 64KiB into bytes."""
    match = SIZE.match(argument)
    if match is None:
        raise InvalidValueError(f"{_quoted(argument)} is not a size such as 64KiB or 4MiB")
    return int(match[1]) * SIZE_UNITS[match[2]]


def parse_percentage(argument: str) -> float:
    """Parse a percentage such as 20% into a fraction from 0 to 1."""
    digits = argument.removesuffix("%")
    value = _float_or_nan(digits)
    if digits == argument or not math.isfinite(value) or not 0 <= value <= 100:
        raise InvalidValueError(f"{_quoted(argument)} is not a percentage from 0% to 100%")
    return value / 100


def parse_number(argument: str) -> float:
    """Parse a finite, non-negative number."""
    value = _float_or_nan(argument)
    if not math.isfinite(value) or value < 0:
        raise InvalidValueError(f"{_quoted(argument)} is not a non-negative number")
    return value


def parse_integer(argument: str) -> int:
    """Parse a non-negative integer."""
    if not argument.isdigit() or len(argument) > MAX_INTEGER_DIGITS or not argument.isascii():
        raise InvalidValueError(f"{_quoted(argument)} is not a non-negative integer")
    return int(argument)


def parse_flag(argument: str) -> bool:
    """Parse `yes` or `no`."""
    if argument not in ("yes", "no"):
        raise InvalidValueError(f"{_quoted(argument)} is neither yes nor no")
    return argument == "yes"


def parse_address(argument: str) -> Address:
    """Parse an address such as 127.0.0.1:7100 or [::1]:7100."""
    host, colon, port = argument.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        quoted = repr(argument[:QUOTED_ADDRESS_LENGTH])
        raise InvalidValueError(f"{quoted} is not an address such as 127.0.0.1:7100")
    return Address(host.strip("[]"), int(port))


def parse_name(argument: str) -> str:
    """Check the length of a name and return it unchanged."""
    if not argument or len(argument) > MAX_NAME_LENGTH:
        raise InvalidValueError(f"must have 1 to {MAX_NAME_LENGTH} characters")
    return argument


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only `choices`."""

    def parse(argument: str) -> str:
        """Return the argument unchanged if it is one of `choices`."""
        if argument not in choices:
            raise InvalidValueError(f"{_quoted(argument)} is not one of {', '.join(choices)}")
        return argument

    return parse


def _float_or_nan(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan


def _quoted(argument: str) -> str:
    return repr(argument[:QUOTED_LENGTH])

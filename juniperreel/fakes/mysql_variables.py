"""Session and user variables of a MySQL connection: assignment, and substitution in statements."""

from __future__ import annotations

import re

from juniperreel.fakes.errors import MysqlError
from juniperreel.fakes.mysql_translation import MAX_QUOTED_CHARACTERS, syntax_error

ASSIGNMENT_SEPARATOR = re.compile(r",(?=(?:[^']*'[^']*')*[^']*\Z)")
ASSIGNMENT = re.compile(r"(?:@@session\.|@@|session )?(@?\w+) ?:?= ?('[^']*'|-?[\w.]+)\Z", re.I)
REFERENCE = re.compile(r"('(?:[^'\\]|\\.)*')|@@(?:session\.)?(\w+)|@\w+|last_insert_id\(\)", re.I)
DEFAULTS = {
    "sql_mode": "'ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES'",
    "time_zone": "'SYSTEM'",
    "foreign_key_checks": "1",
    "unique_checks": "1",
    "group_concat_max_len": "1024",
    "max_execution_time": "0",
    "sql_safe_updates": "0",
    "wait_timeout": "28800",
}
RESET_VALUES = ("default", "null")


class SessionVariables:
    """The variables of one connection with non-default values, and its last insert ID."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.last_insert_id = 0

    def reset(self) -> None:
        """Reset all variables to their defaults."""
        self.values = {}

    def assign(self, text: str) -> None:
        """Assign literals like SET, atomically. Raises MysqlError, in which case no variable changes."""
        values = dict(self.values)
        for part in ASSIGNMENT_SEPARATOR.split(text):
            match = ASSIGNMENT.match(part.strip())
            if match is None:
                raise syntax_error(f" near {part[:MAX_QUOTED_CHARACTERS]!r}")
            name = match[1].lower()
            value = match[2]
            if name == "last_insert_id":
                self.last_insert_id = int(value)
                continue
            _check(name, value)
            if value.lower() in RESET_VALUES:
                values.pop(name, None)
            else:
                values[name] = value
        self.values = values

    def substitute(self, text: str) -> str:
        """Replace variables outside of quotes by their values."""
        if "@" not in text and "last_insert_id" not in text.lower():
            return text
        return REFERENCE.sub(self._value, text)

    def _value(self, match: re.Match[str]) -> str:
        quoted, system_variable = match.groups()
        if quoted:
            return match[0]
        if system_variable:
            name = system_variable.lower()
            return self.values.get(name, DEFAULTS.get(name, match[0]))
        if not match[0].startswith("@"):
            return str(self.last_insert_id)
        return self.values.get(match[0].lower(), "null")


def _check(name: str, value: str) -> None:
    if not name.startswith("@") and name not in DEFAULTS:
        raise MysqlError(1193, "HY000", f"Unknown system variable '{name}'")
    if name == "sql_mode" and "NONSENSE" in value:
        raise MysqlError(1231, "42000", f"Variable 'sql_mode' can't be set to the value of {value}")

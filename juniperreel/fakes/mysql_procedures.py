"""The one stored procedure of the fake MySQL servers, whose results have the sizes that its caller asks for.

`call result_sets(2, 3)` returns a result set of two rows, one of three, and the status of the call.
"""

from __future__ import annotations

import re

from juniperreel.fakes.mysql_engine import ResultSet

CALL = re.compile(r"\s*call\s+result_sets\s*\(([\d,\s]*)\)\s*;?\s*", re.I)
PADDING = "x" * 100  # makes results of a few thousand rows exceed what is buffered


def called_result_sets(text: str) -> list[ResultSet] | None:
    """Return the result sets of a call of the procedure; None for any other statement."""
    match = CALL.fullmatch(text)
    if match is None:
        return None
    row_counts = [int(argument) for argument in match[1].split(",") if argument.strip()]
    return [_result_set(number, count) for number, count in enumerate(row_counts)]


def _result_set(number: int, row_count: int) -> ResultSet:
    rows = ((number, row, PADDING) for row in range(row_count))
    return ResultSet(["result_number", "row_number", "padding"], rows)

"""The commit of a transaction, by the replies of its endpoint's connection."""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import ColumnType
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import encode_text_row
from juniperreel.net import Clock
from juniperreel.pool.result import Result, Statement
from juniperreel.proxy import TransactionOutcomeUnknownError
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.transactions import EndpointTransaction

STATUS_COLUMNS = tuple(
    Column(name, ColumnType.LONGLONG) for name in ("read_only", "clock", "epoch", "start", "ts")
)
VALID_STATUS = Result(STATUS_COLUMNS, [encode_text_row([0, 900, 1, 0, 800])])
TRUNCATED_STATUS = Result(STATUS_COLUMNS, [b"\x05ab"])
EMPTY_STATUS = Result(STATUS_COLUMNS, [])


class FakeBackend:
    """A connection whose commit succeeds, between two given replies to the status query."""

    def __init__(self, before: Result, after: Result) -> None:
        self.replies = [before, Result(ok=Ok()), after]
        self.session = SimpleNamespace(in_transaction=False)
        self.close_reason = ""

    async def exchange(self, _steps: Sequence[Statement], *_arguments: Any) -> list[Result]:
        return self.replies


def committing(before: Result, after: Result) -> tuple[EndpointTransaction, list[bool]]:
    returned: list[bool] = []
    backend: Any = FakeBackend(before, after)
    positions = PositionTracker(0)
    transaction = EndpointTransaction(backend, "r", "m", 0, Clock(), positions, 10**9, returned.append)
    return transaction, returned


@pytest.mark.parametrize("invalid", [TRUNCATED_STATUS, EMPTY_STATUS], ids=["truncated", "empty"])
@pytest.mark.parametrize("which", ["before", "after"])
async def test_commit_with_an_invalid_status_has_an_unknown_outcome(invalid: Result, which: str) -> None:
    """Guards against an error of the parser in place of the commit's answer."""
    replies = {"before": VALID_STATUS, "after": VALID_STATUS} | {which: invalid}
    transaction, returned = committing(**replies)
    with pytest.raises(TransactionOutcomeUnknownError, match="m sent no valid status with the commit"):
        await transaction.finish(Statement(b"commit"))
    assert returned == [True]


async def test_commit_between_two_valid_statuses_succeeds() -> None:
    transaction, returned = committing(VALID_STATUS, VALID_STATUS)
    result = await transaction.finish(Statement(b"commit"))
    assert result.token.positions_in(0)
    assert returned == [True]

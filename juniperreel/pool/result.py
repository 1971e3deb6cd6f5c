"""A member's answer as MySQL sent it: rows stay bytes, for a client of the same protocol."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import decode_binary_row, decode_text_row
from juniperreel.mysql.values import Value


class Rest(Protocol):
    """Of a result that is longer than is held at once. Must be read to its end, or closed."""

    async def more(self) -> list[bytes]:
        """Some rows; none at the end, and then `ok` tells how it ended. Raises what ends a statement."""
        ...

    def close(self) -> None:
        """Nobody wants the rest."""
        ...

    @property
    def ok(self) -> Ok: ...


@dataclass(slots=True)
class Result:
    """`columns` is empty for what has no rows. `rows` are in text, or in binary after an execution."""

    columns: tuple[Column, ...] = ()
    rows: list[bytes] = field(default_factory=list)
    ok: Ok = field(default_factory=Ok)
    binary: bool = False
    rest: Rest | None = None
    more: list[Result] = field(default_factory=list)  # of the same statement, as `call` may have

    def values(self) -> list[list[Value]]:
        """Raises ProtocolError."""
        read = decode_binary_row if self.binary else decode_text_row
        return [read(self.columns, row) for row in self.rows]


@dataclass(frozen=True, slots=True)
class Statement:
    """What is to be run: as text, or prepared and executed with `values`."""

    text: bytes
    values: Sequence[Value] = ()
    binary: bool = False

    @property
    def prepared(self) -> bool:
        return self.binary or bool(self.values)

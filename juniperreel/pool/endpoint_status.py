"""Where a MySQL-speaking member stands, from what it publishes. No I/O.

Role: `@@global.read_only`. Positions: a heartbeat table that replicates like any other, of one row for each
epoch of the group, in the manner of pt-heartbeat:

    create table juniperreel.heartbeat (
      epoch bigint unsigned primary key, start bigint unsigned not null, ts bigint unsigned not null)

The primary writes its clock into `ts` of the last row several times a second; a replica that has applied a
row has applied all that was committed before its `ts` was read. Whoever promotes adds the next epoch's row,
with the last position that the new primary took over in `start`. Times are microseconds since the Unix epoch.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

from juniperreel.mysql.values import Value

QUERY = (
    b"select @@global.read_only, cast(unix_timestamp(sysdate(6)) * 1000000 as unsigned), epoch, start, ts "
    b"from juniperreel.heartbeat order by epoch"
)
GTIDS = b"select @@global.gtid_executed"
LOAD = b"show global status like 'Threads_running'"
COLUMNS = 5
KEPT_EPOCHS = 16


class NotTold(Exception):
    """The member did not tell where it stands, or not in the form that is expected."""


@dataclass(frozen=True, slots=True)
class Told:
    """`clock_us`: the member's own, when it answered. `position_us`: up to which all is applied, as the
    heartbeat tells. Danger: a primary's clock goes on when nobody follows it any more; its heartbeat, where
    writes wait for another member's receipt, does not."""

    read_only: bool
    clock_us: int
    position_us: int
    epochs: tuple[tuple[int, int], ...]


def told(rows: Sequence[Sequence[Value]]) -> Told:
    """Raises NotTold."""
    numbers: list[list[int]] = []
    for row in rows[-KEPT_EPOCHS:]:
        try:
            numbers.append([int(v) for v in row if v is not None])
        except ValueError:
            raise NotTold(f"the heartbeat holds {row!r}") from None
        if len(numbers[-1]) != COLUMNS:
            raise NotTold("the heartbeat table holds a NULL")
    if not numbers:
        raise NotTold("the heartbeat table is empty")
    epochs = tuple((row[2], row[3]) for row in numbers)
    if any(a[0] >= b[0] for a, b in pairwise(epochs)):
        raise NotTold("the heartbeat's epochs do not rise")
    read_only, clock = bool(numbers[-1][0]), numbers[-1][1]
    position = max(row[4] for row in numbers)
    return Told(read_only, clock, position, epochs)


def load(rows: Sequence[Sequence[Value]]) -> float:
    """Statements that run there, this one not counted. Raises NotTold."""
    try:
        ((_, value),) = rows
        return max(float(str(value)) - 1, 0.0)
    except ValueError:
        raise NotTold("the member does not tell its load") from None

"""A MySQL server's role, replication position and load, from what it publishes. No I/O.

The role is `@@global.read_only`. Positions come from a heartbeat table that replicates like any other, with
one row for each epoch of the group, in the manner of pt-heartbeat:

    create table juniperreel.heartbeat (
      epoch bigint unsigned primary key, start bigint unsigned not null, ts bigint unsigned not null)

The primary writes its clock into `ts` of the last row several times a second; a replica that has applied a
row has applied everything that was committed before its `ts` was read. Whoever promotes a primary adds the
next epoch's row, with the last position that the new primary took over in `start`. Times are microseconds
since the Unix epoch.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

from juniperreel.mysql.values import Value
from juniperreel.pool.errors import StatusUnavailableError

STATUS_QUERY = (
    b"select @@global.read_only, cast(unix_timestamp(sysdate(6)) * 1000000 as unsigned), epoch, start, ts "
    b"from juniperreel.heartbeat order by epoch"
)
GTID_QUERY = b"select @@global.gtid_executed"
LOAD_QUERY = b"show global status like 'Threads_running'"
MAX_EPOCHS = 16  # the latest are used, older ones ignored


class HeartbeatEpoch(NamedTuple):
    """One epoch of a group, as its row of the heartbeat table has it."""

    epoch: int
    start_us: int


class _HeartbeatRow(NamedTuple):
    """One row of the result of `STATUS_QUERY`."""

    read_only: int
    clock_us: int
    epoch: int
    start_us: int
    heartbeat_us: int


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint reported of itself.

    Attributes:
        read_only: Whether it rejects writes, as replicas do.
        clock_us: Its own clock when it answered.
        position_us: Up to which it has applied everything, by its heartbeat table. Danger: the clock of a
            primary that lost its replicas goes on, and would claim positions that the group never gets; its
            heartbeat stops, where commits wait for a replica's acknowledgement.
        epochs: The latest epochs, ascending.
    """

    read_only: bool
    clock_us: int
    position_us: int
    epochs: tuple[HeartbeatEpoch, ...]


def parse_status(rows: Sequence[Sequence[Value]]) -> EndpointStatus:
    """The status from the rows of `STATUS_QUERY`.

    Raises:
        StatusUnavailableError: The heartbeat table is empty, or holds what it must not.
    """
    heartbeats = [_parse_heartbeat(row) for row in rows[-MAX_EPOCHS:]]
    if not heartbeats:
        raise StatusUnavailableError("the heartbeat table is empty")
    epochs = tuple(HeartbeatEpoch(heartbeat.epoch, heartbeat.start_us) for heartbeat in heartbeats)
    if any(earlier.epoch >= later.epoch for earlier, later in pairwise(epochs)):
        raise StatusUnavailableError("the heartbeat's epochs do not ascend")
    latest = heartbeats[-1]
    position_us = max(heartbeat.heartbeat_us for heartbeat in heartbeats)
    return EndpointStatus(bool(latest.read_only), latest.clock_us, position_us, epochs)


def _parse_heartbeat(row: Sequence[Value]) -> _HeartbeatRow:
    try:
        numbers = [int(value) for value in row if value is not None]
    except ValueError:
        raise StatusUnavailableError(f"the heartbeat table holds {row!r}") from None
    if len(numbers) != len(_HeartbeatRow._fields):
        raise StatusUnavailableError("the heartbeat table holds a NULL")
    return _HeartbeatRow(*numbers)


def parse_load(rows: Sequence[Sequence[Value]]) -> float:
    """The number of running statements from the row of `LOAD_QUERY`, not counting the query itself.

    Raises:
        StatusUnavailableError: There is no such row, or its value is not a number.
    """
    try:
        ((_, running),) = rows
        return max(float(str(running)) - 1, 0.0)
    except ValueError:
        raise StatusUnavailableError("the server does not report its load") from None

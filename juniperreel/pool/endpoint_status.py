"""Parses a MySQL server's role, replication position and load. No I/O.

The role is `@@global.read_only`. Positions are read from a replicated heartbeat table with one row per epoch
of the group, similar to pt-heartbeat:

    create table juniperreel.heartbeat (
      epoch bigint unsigned primary key, start bigint unsigned not null, ts bigint unsigned not null)

The primary writes its clock into `ts` of the last row several times per second; a replica that has applied a
row has applied everything committed before its `ts` was read. The operator or tool that promotes a primary
inserts the row of the next epoch, with the last position that the new primary has applied in `start`. Times
are in microseconds since the Unix epoch.
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
MAX_EPOCHS = 16  # older epochs are ignored


class HeartbeatEpoch(NamedTuple):
    """An epoch of a group and its start position."""

    epoch: int
    start_us: int


class _HeartbeatRow(NamedTuple):
    """A row of the result of `STATUS_QUERY`."""

    read_only: int
    clock_us: int
    epoch: int
    start_us: int
    heartbeat_us: int


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status that an endpoint reported.

    Attributes:
        read_only: Whether it rejects writes, as replicas do.
        clock_us: The endpoint's clock at the time of the response.
        position_us: The position up to which it has applied all commits, from the heartbeat table. Danger:
            the clock of a primary must not be used instead. It keeps advancing after the primary has lost its
            replicas, and would report positions that the group never reaches; the heartbeat stops if commits
            wait for the acknowledgement of a replica.
        epochs: The latest epochs, ascending.
    """

    read_only: bool
    clock_us: int
    position_us: int
    epochs: tuple[HeartbeatEpoch, ...]


def parse_status(rows: Sequence[Sequence[Value]]) -> EndpointStatus:
    """Parse the rows of `STATUS_QUERY`.

    Raises:
        StatusUnavailableError: The heartbeat table is empty, or its contents are invalid.
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
    """Parse the number of running statements from `LOAD_QUERY`, excluding the query itself.

    Raises:
        StatusUnavailableError: The row is missing, or its value is not a number.
    """
    try:
        ((_, running),) = rows
        return max(float(str(running)) - 1, 0.0)
    except ValueError:
        raise StatusUnavailableError("the server does not report its load") from None

"""The file format of load results: one JSON line per attempt.

Stored results must remain readable: renamed fields keep their name in the file, and types their tag.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

CLIENT_DEADLINE_STATUS = 4  # gRPC's DEADLINE_EXCEEDED, also reported when the client's own deadline expires
REJECTED_STATUSES = (8, 14)  # gRPC's RESOURCE_EXHAUSTED and UNAVAILABLE


class RunStart(msgspec.Struct, frozen=True, tag="Start", omit_defaults=True, rename={"at_us": "at"}):
    """The run's start as Unix time, and the text of its plan."""

    at_us: int
    plan: str
    command: str = ""


ATTEMPT_NAMES = {
    "due_us": "due",
    "sent_us": "sent",
    "took_us": "took",
    "request": "n",
    "attempt": "number",
    "retry_after_ms": "wait",
    "edge_attempts": "tries",
    "reason": "why",
}


class Attempt(msgspec.Struct, frozen=True, tag="Shot", omit_defaults=True, rename=ATTEMPT_NAMES):
    """One attempt at a request. Times count from the start of the run.

    `due_us` is the scheduled and `sent_us` the actual send time; `took_us` is the time from `due_us` to the
    response. `attempt` is 0 for the first attempt at a request; `cls`, `stage` and `tenant` are indexes into
    the plan, with a `tenant` of -1 if it has none. `local` marks a status that the client generated because
    it received none from the edge. `edge_attempts` is the number of attempts made by the edge.
    """

    due_us: int
    sent_us: int
    took_us: int
    request: int
    attempt: int
    stage: int
    cls: int
    tenant: int
    session: int
    status: int
    local: bool = False
    retry_after_ms: int = 0  # negative: must not be retried
    edge_attempts: int = 0
    reason: str = ""


USAGE_NAMES = {"second": "at", "lag_us": "late_us", "requests": "asked", "rejected": "refused"}


class ProcessUsage(msgspec.Struct, frozen=True, tag="Side", omit_defaults=True, rename=USAGE_NAMES):
    """The resource usage of one process in one second, which shows the side that limited the run.

    `second` counts from the start of the run; `cpu` is a fraction of one core; `lag_us` is the longest delay
    with which a client sent a request after it was due.
    """

    second: int
    name: str
    cpu: float
    lag_us: int = 0
    requests: int = 0
    served: int = 0
    rejected: int = 0


ResultLine = RunStart | Attempt | ProcessUsage
ENCODER = msgspec.json.Encoder()


def read_result(path: Path) -> Iterator[ResultLine]:
    """Yield the lines of a result. Raises OSError, or ValueError with the number of an invalid line."""
    decoder = msgspec.json.Decoder(ResultLine)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.DecodeError as error:
                raise ValueError(f"{path}:{number}: {error}") from error

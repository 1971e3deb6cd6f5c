"""The result of a load run as a file: what became of each attempt, a JSON line each.

Results are kept: a field that is renamed here keeps its name in the file, and a type its tag.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

LOCAL_STATUS = 4  # gRPC's DEADLINE_EXCEEDED, which a client's own deadline looks like
REJECTED_STATUSES = (8, 14)  # gRPC's RESOURCE_EXHAUSTED and UNAVAILABLE


class RunStart(msgspec.Struct, frozen=True, tag="Start", omit_defaults=True, rename={"at_us": "at"}):
    """The run: its start on the Unix epoch, and the plan's text."""

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
    """One attempt at a request. Times count from the run's start.

    `due_us` is when it was to be sent, `sent_us` when it was, and `took_us` counts from the first of them to
    the answer. `attempt` is 0 for a request's first; `cls`, `stage` and `tenant` are places in the plan,
    `tenant` -1 where it has none. `local`: the client made the status up, since its edge said nothing.
    `edge_attempts` are those that the edge made.
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
    retry_after_ms: int = 0  # negative: not to be sent again
    edge_attempts: int = 0
    reason: str = ""


USAGE_NAMES = {"second": "at", "lag_us": "late_us", "requests": "asked", "rejected": "refused"}


class ProcessUsage(msgspec.Struct, frozen=True, tag="Side", omit_defaults=True, rename=USAGE_NAMES):
    """What one process of the run spent in one second: which side was at its limit is seen from this.

    `second` counts from the run's start; `cpu` is of one core; `lag_us` is by how much a client's own event
    loop was late at most.
    """

    second: int
    name: str
    cpu: float
    lag_us: int = 0
    requests: int = 0
    served: int = 0
    rejected: int = 0


Line = RunStart | Attempt | ProcessUsage
ENCODER = msgspec.json.Encoder()


def read_result(path: Path) -> Iterator[Line]:
    """Yield the lines of a result. Raises OSError, and ValueError with the number of a line that is none."""
    decoder = msgspec.json.Decoder(Line)
    with path.open("rb") as lines:
        for number, line in enumerate(lines, 1):
            try:
                yield decoder.decode(line)
            except msgspec.DecodeError as error:
                raise ValueError(f"{path}:{number}: {error}") from error

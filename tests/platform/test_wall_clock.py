"""A driver whose wall clock was stepped before it started: positions are by the clocks of other machines."""

from __future__ import annotations

from typing import Any

import pytest

from juniperreel.postgres import messages as m
from tests.platform.event_harness import (
    MS,
    SEC,
    SETTINGS,
    EventHarness,
    FakeTransport,
    read_text,
    row,
    write_text,
)

BOUND_S = 0.3
STALE, FRESH = b"stale", b"fresh"


def bounded_settings() -> dict[str, Any]:
    specifics = {**SETTINGS["specifics"], "consistency": ["bounded", "session", "write"]}
    return {**SETTINGS, "specifics": {**specifics, "lag_allowed_s": [BOUND_S, 0.0, 0.0]}}


class StepHarness(EventHarness):
    """A driver whose clock is `behind_us` behind that of all endpoints."""

    def __init__(self, behind_us: int) -> None:
        super().__init__(settings=bounded_settings())
        self.behind_us = behind_us
        self._count = 0

    def new_id(self) -> str:
        self._count += 1
        return f"{self._count:016x}"

    def position_ms(self, lag_us: int = 0) -> int:
        """The position of an endpoint so far behind, on its own clock."""
        return (self.time + self.behind_us - lag_us) // 1000

    def answer_all(self, replica_lag_us: int) -> list[int]:
        """Answer what is out as the endpoints would; return the ports that were asked."""
        asked = []
        for port, transport in self.opened:
            if transport not in self.busy_transports():
                continue
            asked.append(port)
            self._answer(port == 1001, transport, replica_lag_us)
        return asked

    def _answer(self, is_primary: bool, transport: FakeTransport, replica_lag_us: int) -> None:
        query = transport.take()
        if not query:
            query = self.log_in(transport)
        lag_us = 0 if is_primary else replica_lag_us
        if b"SHOW pressure" in query:
            value = b"x0=%.6f,x1=%d,queue=0" % (self.position_ms(lag_us) / 1000, is_primary)
            self.feed(transport, row(value))
            return
        role = "primary" if is_primary else "standby"
        value = FRESH if lag_us < BOUND_S * SEC else STALE
        self.feed(transport, row(value, role, self.position_ms(lag_us)))

    def ask(self, text: bytes, replica_lag_us: int) -> bytes:
        """Ask as a client, with all that the driver asks meanwhile; return the answer."""
        client = self.client(text)
        answer = b""
        for _ in range(100):
            self.answer_all(replica_lag_us)
            self.advance_us(10 * MS)
            answer += client.take()
            if answer.endswith(m.READY):
                break
        self.disconnect(client)
        return answer


@pytest.mark.parametrize("behind_us", [0, 3 * SEC, 3600 * SEC, -3 * SEC, -3600 * SEC])
def test_no_read_is_older_than_its_bound_whatever_the_wall_clock_was_at_the_start(behind_us: int) -> None:
    """Replicas lag as much as the clock was stepped, so that they look fresh to whoever believes it."""
    harness = StepHarness(behind_us)
    lag_us = abs(behind_us) or 3 * SEC
    for _ in range(10):
        harness.ask(write_text(harness.new_id()), lag_us)
        harness.advance_us(100 * MS)
    for _ in range(50):
        assert STALE not in harness.ask(read_text(harness.new_id(), span=1500), lag_us)
        harness.advance_us(50 * MS)


@pytest.mark.parametrize("behind_us", [0, 3 * SEC, 3600 * SEC, -3600 * SEC])
def test_replicas_serve_bounded_reads_again_once_the_step_is_known(behind_us: int) -> None:
    harness = StepHarness(behind_us)
    for _ in range(10):
        harness.ask(write_text(harness.new_id()), 20 * MS)
        harness.advance_us(100 * MS)
    by_replica = 0
    for _ in range(40):
        client = harness.client(read_text(harness.new_id(), span=1500))
        for _ in range(20):
            by_replica += 1002 in harness.answer_all(20 * MS)
            harness.advance_us(5 * MS)
        assert FRESH in client.take()
        harness.disconnect(client)
    assert by_replica > 20

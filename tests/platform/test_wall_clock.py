"""Bounded reads by a driver whose wall clock is off at start, while positions use other machines' clocks."""

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
    read_query,
    row_reply,
    write_query,
)

BOUND_S = 0.3
STALE, FRESH = b"stale", b"fresh"


def bounded_settings() -> dict[str, Any]:
    specifics = {**SETTINGS["specifics"], "consistency": ["bounded", "session", "write"]}
    return {**SETTINGS, "specifics": {**specifics, "lag_allowed_s": [BOUND_S, 0.0, 0.0]}}


class SkewedClockHarness(EventHarness):
    """A driver whose clock is `behind_us` behind that of all endpoints."""

    def __init__(self, behind_us: int) -> None:
        super().__init__(settings=bounded_settings())
        self.behind_us = behind_us
        self._count = 0

    def new_id(self) -> str:
        self._count += 1
        return f"{self._count:016x}"

    def position_ms(self, lag_us: int = 0) -> int:
        """Return the position of an endpoint with this lag, on its own clock."""
        return (self.time + self.behind_us - lag_us) // 1000

    def answer_all(self, replica_lag_us: int) -> list[int]:
        """Answer all pending queries as the endpoints would; return the ports of the endpoints queried."""
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
            self.feed(transport, row_reply(value))
            return
        role = "primary" if is_primary else "standby"
        value = FRESH if lag_us < BOUND_S * SEC else STALE
        self.feed(transport, row_reply(value, role, self.position_ms(lag_us)))

    def execute(self, text: bytes, replica_lag_us: int) -> bytes:
        """Execute a client's statement, answering the driver's queries meanwhile; return the answer."""
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
def test_bounded_reads_respect_their_bound_despite_clock_skew(behind_us: int) -> None:
    """Replicas lag by the clock's offset, so that they appear fresh on the uncorrected clock."""
    harness = SkewedClockHarness(behind_us)
    lag_us = abs(behind_us) or 3 * SEC
    for _ in range(10):
        harness.execute(write_query(harness.new_id()), lag_us)
        harness.advance_us(100 * MS)
    for _ in range(50):
        assert STALE not in harness.execute(read_query(harness.new_id(), timeout_ms=1500), lag_us)
        harness.advance_us(50 * MS)


@pytest.mark.parametrize("behind_us", [0, 3 * SEC, 3600 * SEC, -3600 * SEC])
def test_replicas_serve_bounded_reads_once_clock_skew_is_known(behind_us: int) -> None:
    harness = SkewedClockHarness(behind_us)
    for _ in range(10):
        harness.execute(write_query(harness.new_id()), 20 * MS)
        harness.advance_us(100 * MS)
    by_replica = 0
    for _ in range(40):
        client = harness.client(read_query(harness.new_id(), timeout_ms=1500))
        for _ in range(20):
            by_replica += 1002 in harness.answer_all(20 * MS)
            harness.advance_us(5 * MS)
        assert FRESH in client.take()
        harness.disconnect(client)
    assert by_replica > 20

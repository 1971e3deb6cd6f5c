"""Pressure on endpoints, and which requests are rejected because of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from juniperreel.routing.estimators import DecayingMean
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import InFlightAttempt
from juniperreel.routing.types import (
    ClientDisconnected,
    EndpointUpdate,
    Reject,
    Role,
    UpdateKind,
)
from tests.routing.router_script import (
    CLASSES,
    MS,
    SEC,
    Script,
    member,
)


def full_pressure(s: Script, value: float) -> DecayingMean:
    """As many recent responses at this pressure as are ever counted."""
    pressure = s.router.state.new_pressure()
    for _ in range(parameters.PRESSURE_SAMPLES):
        pressure.observe(s.now, value)
    return pressure


def test_shedding_spares_what_is_worth_most_for_its_time() -> None:
    cheap = replace(CLASSES[3], priority_weight=0.2)
    s = Script(classes=(*CLASSES[:3], cheap, *CLASSES[4:]))
    s.group("a")
    refused = Counter[str]()
    for _ in range(100):
        for name in ("loose", "own"):
            s.router.state.groups[0].pressure = full_pressure(s, 0.6)
            r = s.ask(name)
            refused[name] += len(s.did(Reject, r))
            s.batch(ClientDisconnected(r))
            s.router.state.endpoints["a"].in_flight.clear()
    assert refused["loose"] > refused["own"] + 20


def test_pressure_of_all_replicas_speaks_where_a_member_told_little() -> None:
    """pilbara-boards-later big-1: one answer in many seconds from each member hid a burst."""
    s = Script()
    s.start(*(member(f"m{i}", group=i) for i in range(20)))
    refused = 0
    for i in range(100):
        r = s.ask("loose", group=i % 20)
        if r in s.sends:
            s.end(r, duration_us=1800 * MS)
        refused += len(s.did(Reject, r))
        s.now += 200 * MS
    assert refused >= 15


def test_a_read_its_replica_would_shed_goes_to_a_primary_with_room() -> None:
    s = Script()
    s.group("a")
    for _ in range(12):
        s.router.state.endpoints["a"].pressure.observe(s.now, 3.0)
    s.router.state.endpoints["p"].pressure.observe(s.now, 0.05)
    assert s.did(Reject, s.ask("loose"))  # one answer of its own is too little to go by
    for _ in range(5):
        s.router.state.endpoints["p"].pressure.observe(s.now, 0.05)
    assert {s.sends[s.ask("loose")][0] for _ in range(3)} == {"p"}
    for _ in range(12):
        s.router.state.endpoints["p"].pressure.observe(s.now, 3.0)
    assert s.did(Reject, s.ask("loose"))


def test_attempts_that_are_out_for_long_press_their_member_before_they_end() -> None:
    s = Script(cancellation=False)
    s.group("a")
    s.end(s.ask("loose"))
    state = s.router.state.endpoints["a"]
    before = s.router.parts.shedder.pressure.with_overdue(state, 0.1)
    for n in range(8):
        state.in_flight[(f"{n}", 0)] = InFlightAttempt(s.now - 900 * MS, 500 * MS)
    assert before == pytest.approx(0.1) and s.router.parts.shedder.pressure.with_overdue(state, 0.1) > 0.8


def test_what_is_heard_of_other_primaries_speaks_for_one_that_is_not_heard() -> None:
    s = Script()
    s.group("a")
    s.batch(EndpointUpdate(UpdateKind.DELTA, (member("q", group=1), member("z", group=1))))
    s.probed("q", True)
    q = s.router.state.endpoints["q"]
    assert s.router.parts.shedder.pressure.value(q) == 0
    for _ in range(4):
        s.wait(SEC)
        s.end(s.ask("write"), role=Role.PRIMARY, duration_us=450 * MS)
    assert s.router.parts.shedder.pressure.value(q) > 0.3

"""The soak: short runs pass, seeded bugs are found, and each check of the oracle finds its violation."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

from juniperreel.fakes.script import parse, render
from juniperreel.net import TcpNetwork
from juniperreel.testbed.driver_fleet import ExitStatus
from juniperreel.testbed.hold_ups import HOLD_UPS_SUFFIX, RECORD
from juniperreel.testbed.injected_faults import FaultKind
from juniperreel.testbed.run_queue import RunQueueWaits, WaitSample
from juniperreel.testbed.soak.oracle import MAX_LOOP_LAG, SoakReport, check_soak
from juniperreel.testbed.soak.plan import FAULT_RATES, draw_plan
from juniperreel.testbed.soak.requests import ClientDisconnect, ClientObservations
from juniperreel.testbed.soak.run import FAULTY_DRIVER_PROGRAM, SoakTrial, run_soak
from juniperreel.testbed.soak.timeliness import AwaitedAnswer
from juniperreel.verification import records as rec

DRIVERS = 8
DURATION_MS = 9_000
# Higher than in a full soak, since a short one has fewer calls.
RATES = {kind: min(3 * rate, 0.5) for kind, rate in FAULT_RATES.items()}
SECOND = 1_000_000
ID = "00000000000000f1"

# Seeds, named by what their plans contain.
LONG_DEADLINES = 3
SHORT_DEADLINES = 7
SHORT_DEADLINES_IN_A_CROWD = 1

FAULTY_PROGRAM = """
import runpy
from juniperreel.net.poller import Poller
from juniperreel.platform.attempt import Attempt
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.client_listener import ClientListener
from juniperreel.platform.counters import CloseReason
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_clock import EndpointClock
from juniperreel.platform.program import Program
{bug}
runpy.run_module("juniperreel.testbed.faulty_driver", run_name="__main__")
"""
TRUSTS_WALL_CLOCK = """
EndpointClock.observe = lambda *_: 0
EndpointClock.is_plausible = lambda *_: True
"""
WRITES_AFTER_DISCONNECT = """
PlatformDriver.client_disconnected = lambda *_: None
Attempt.is_awaited = lambda _: True
"""
ENDS_CLIENTS_WITH_OPEN_REQUESTS = """
close_inactive = ClientListener.close_inactive
def patched(self):
    close_inactive(self)
    for client in [c for c in self.clients if c.command_count > 3][:1]:
        self.close_gracefully(client, CloseReason.IDLE)
ClientListener.close_inactive = patched
"""

COUNTS_DEADLINE_FROM_POLL_RETURN = """
wait = Poller.wait
async def patched(self, until_us):
    await wait(self, until_us)
    self.ready_since_us = self.clock.now_us()
Poller.wait = patched
"""
STOPS_READING_BUSY_CONNECTIONS = """
def patched(self):
    self.closing = True
    for client in list(self.clients):
        if client.commands:
            client.pause_reading()
        elif not client.closing_since_us and client.is_idle:
            self.close_gracefully(client, CloseReason.SHUTDOWN)
ClientListener.close_when_answered = patched
ClientConnection.is_idle = property(lambda client: not client.commands and not client._protocol.buffered)
"""


@pytest.mark.parametrize("seed", [LONG_DEADLINES, SHORT_DEADLINES, SHORT_DEADLINES_IN_A_CROWD])
async def test_a_short_soak_violates_nothing_and_had_its_faults(tmp_path: Path, seed: int) -> None:
    report = await run_soak(seed, DRIVERS, DURATION_MS, TcpNetwork(), tmp_path, RATES)
    assert report.violations == []
    injected = {kind for kind in FaultKind if report.counts[f"injected: {kind.value}"]}
    assert injected == set(RATES)
    assert report.counts["requests served"] > 500
    assert report.counts["client: kept sending until the end"] > 0
    assert report.counts["closed_clients: shutdown"] > 0


@pytest.mark.parametrize(
    "bug, expected_text",
    [
        pytest.param(TRUSTS_WALL_CLOCK, "rule 5", id="trusts the wall clock"),
        pytest.param(WRITES_AFTER_DISCONNECT, "after its client had left", id="writes after a disconnect"),
        pytest.param(ENDS_CLIENTS_WITH_OPEN_REQUESTS, "closed unanswered", id="closes active clients"),
    ],
)
async def test_a_planted_bug_is_found_by_a_soak(tmp_path: Path, bug: str, expected_text: str) -> None:
    rates = {**RATES, FaultKind.WALL_CLOCK_AT_START: 1.0, FaultKind.HOLD_UP: 0.0}
    program = ("-c", FAULTY_PROGRAM.format(bug=bug))
    report = await run_soak(5, 12, 12_000, TcpNetwork(), tmp_path, rates, program)
    assert any(expected_text in text for text in report.violations), report.violations[:5]


async def test_connections_that_end_over_what_was_sent_are_found_by_a_soak(tmp_path: Path) -> None:
    """Members hang, so that requests are open when the driver begins to close connections."""
    program = ("-c", FAULTY_PROGRAM.format(bug=STOPS_READING_BUSY_CONNECTIONS))
    report = await run_shutdowns_while_members_hang(tmp_path, program)
    assert any("before its connection ended" in text for text in report.violations)


async def test_shutdowns_while_members_hang_violate_nothing(tmp_path: Path) -> None:
    report = await run_shutdowns_while_members_hang(tmp_path, FAULTY_DRIVER_PROGRAM)
    assert report.violations == []


async def run_shutdowns_while_members_hang(directory: Path, program: Sequence[str]) -> SoakReport:
    plan = draw_plan(SHORT_DEADLINES, 8, DURATION_MS)
    hanging = "at 6s for 2500ms hang all\nat 6500ms edge-term edge/*\n"
    trial = SoakTrial(parse(render(plan) + hanging), TcpNetwork(), directory, {}, program)
    await trial.run()
    return trial.report()


async def test_requests_that_count_from_the_end_of_a_wait_are_found_by_a_soak(tmp_path: Path) -> None:
    """Seeded bug: requests that arrive while the process is held up in a poll are answered late."""
    program = ("-c", FAULTY_PROGRAM.format(bug=COUNTS_DEADLINE_FROM_POLL_RETURN))
    report = await run_hold_ups_while_answers_are_lost(tmp_path, program)
    assert any("after its deadline" in text for text in report.violations), report.counts


async def test_hold_ups_with_lost_answers_make_no_answer_late(tmp_path: Path) -> None:
    report = await run_hold_ups_while_answers_are_lost(tmp_path, FAULTY_DRIVER_PROGRAM)
    assert report.violations == []
    assert report.counts[f"injected: {FaultKind.HOLD_UP_IN_WAIT.value}"] > 50
    assert report.counts["client: answers to clients that leave after their time"] > 100


async def run_hold_ups_while_answers_are_lost(directory: Path, program: Sequence[str]) -> SoakReport:
    """Lost answers of endpoints make the driver itself decide when a request is answered."""
    script = """
    groups 2
    members 4
    edges 6
    sessions 12
    seed 11
    longest-deadline 600ms
    last 9s
    at 1s for 8s lose all 70%
    """
    rates = {FaultKind.HOLD_UP_IN_WAIT: 0.06}
    trial = SoakTrial(parse(script), TcpNetwork(), directory, rates, program)
    await trial.run()
    return trial.report()


async def test_driver_that_does_not_exit_is_killed_and_reported_with_its_last_event(
    tmp_path: Path,
) -> None:
    script = "groups 1\nmembers 3\nedges 1\nsessions 2\nlongest-deadline 500ms\nlast 1s\n"
    program = ("-c", FAULTY_PROGRAM.format(bug="Program._shutdown_is_complete = lambda _: False"))
    trial = SoakTrial(parse(script), TcpNetwork(), tmp_path, {}, program)
    await trial.run()
    (ended,) = [text for text in trial.report().violations if text.startswith("n0 ended")]
    assert re.fullmatch(
        r"n0 ended with status -9 logged '[a-z ]+' last, waited \d+\.\d{3} s for a processor", ended
    )


def test_plan_is_deterministic_for_a_seed() -> None:
    assert render(draw_plan(7, 12, 15_000)) == render(draw_plan(7, 12, 15_000))
    assert render(draw_plan(7, 12, 15_000)) != render(draw_plan(8, 12, 15_000))


# The checks of the oracle, each with its own violation.


CLASSES = [rec.RequestClass(0, "board", "repeatable", 0, False, True, -1, 1, 1, 0)]


def attempt(at_us: int) -> rec.AttemptReceived:
    return rec.AttemptReceived(at_us, "g0-m1", "n0", ID, 0, ID, "board", False, 1000)


def awaited(late_us: int, answered: bool = True) -> AwaitedAnswer:
    return AwaitedAnswer(ID, "n0", SECOND, SECOND + late_us, answered, tolerance_us=0)


def check_log(
    directory: Path,
    records: list[rec.Record] | None = None,
    observations: ClientObservations | None = None,
    lines: tuple[dict[str, object], ...] = (),
    exits: tuple[ExitStatus, ...] = (),
    crashed: tuple[str, ...] = (),
) -> SoakReport:
    log = directory / "n0.log"
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return check_soak(
        1, records or [], observations or ClientObservations(), [log], directory, exits, crashed
    )


@pytest.mark.parametrize(
    "check_violation",
    [
        pytest.param(
            lambda path: check_log(
                path,
                [attempt(SECOND + 170_000)],
                ClientObservations(disconnects=[ClientDisconnect(ID, SECOND)]),
            ),
            id="an attempt after its client left",
        ),
        pytest.param(
            lambda path: check_log(
                path, [attempt(SECOND)], ClientObservations(unanswered_at_close={ID: "n0"})
            ),
            id="an unanswered request that was forwarded",
        ),
        pytest.param(
            lambda path: check_log(
                path,
                observations=ClientObservations(unanswered_at_close={ID: "n0"}),
                lines=({"event": "request taken", "request": ID},),
            ),
            id="an unanswered request that was accepted",
        ),
        pytest.param(
            lambda path: check_log(path, lines=({"event": "rule violated"},)), id="a rule violation in a log"
        ),
        pytest.param(
            lambda path: check_log(path, lines=({"event": "timer raised"},)), id="an internal error"
        ),
        pytest.param(
            lambda path: check_log(path, observations=ClientObservations(awaited=[awaited(70_000)])),
            id="a late answer",
        ),
        pytest.param(
            lambda path: check_log(
                path, observations=ClientObservations(awaited=[awaited(60_000, answered=False)])
            ),
            id="a missing answer",
        ),
        pytest.param(lambda path: check_log(path, exits=(ExitStatus("n0", 1),)), id="an exit status"),
        pytest.param(lambda path: check_log(path, crashed=("n0",)), id="a crash"),
        pytest.param(
            lambda path: check_log(path, observations=ClientObservations(violations=["observed"])),
            id="a client's observation",
        ),
    ],
)
def test_each_kind_of_violation_is_reported(
    tmp_path: Path, check_violation: Callable[[Path], SoakReport]
) -> None:
    assert len(check_violation(tmp_path).violations) == 1


def test_soak_without_its_faults_does_not_pass(tmp_path: Path) -> None:
    report = check_log(tmp_path)
    assert not report.violations
    assert f"injected: {FaultKind.ACCEPT.value}" in report.missing
    assert not report.passed


def test_attempt_concurrent_with_client_disconnect_is_no_violation(tmp_path: Path) -> None:
    observations = ClientObservations(disconnects=[ClientDisconnect(ID, SECOND)])
    assert not check_log(tmp_path, [attempt(SECOND + 90_000)], observations).violations


def write_hold_up(directory: Path, start_us: int, end_us: int) -> None:
    """Write a hold-up record of n0."""
    (directory / f"n0.0{HOLD_UPS_SUFFIX}").write_bytes(RECORD.pack(start_us, end_us))


@pytest.mark.parametrize("answered", [True, False])
def test_hold_up_at_the_deadline_excuses_a_late_answer(tmp_path: Path, answered: bool) -> None:
    write_hold_up(tmp_path, SECOND - 10_000, SECOND + 100_000)
    assert not check_log(
        tmp_path, observations=ClientObservations(awaited=[awaited(105_000, answered)])
    ).violations


@pytest.mark.parametrize("answered", [True, False])
def test_hold_up_before_the_deadline_excuses_nothing(tmp_path: Path, answered: bool) -> None:
    write_hold_up(tmp_path, SECOND - 400_000, SECOND - 250_000)
    assert check_log(
        tmp_path, observations=ClientObservations(awaited=[awaited(105_000, answered)])
    ).violations


def test_hold_up_excuses_no_more_than_its_length(tmp_path: Path) -> None:
    write_hold_up(tmp_path, SECOND, SECOND + 40_000)
    assert check_log(tmp_path, observations=ClientObservations(awaited=[awaited(110_000)])).violations


@pytest.mark.parametrize(
    "wait_us, answer, violated",
    [
        pytest.param((SECOND - 10_000, SECOND + 200_000), awaited(205_000), False, id="over the deadline"),
        pytest.param((SECOND - 400_000, SECOND - 200_000), awaited(205_000), True, id="before the deadline"),
        pytest.param((SECOND, SECOND + 100_000), awaited(205_000), True, id="less than it was late"),
        pytest.param((SECOND - 10_000, SECOND + 200_000), awaited(65_000, False), False, id="unanswered"),
        pytest.param((SECOND, SECOND + 40_000), awaited(65_000, False), True, id="unanswered, and short"),
    ],
)
def test_run_queue_wait_excuses_no_more_than_its_length(
    tmp_path: Path, wait_us: tuple[int, int], answer: AwaitedAnswer, violated: bool
) -> None:
    """Guards against blaming drivers for a loaded machine. A wait is derived from samples around its end."""
    start_us, end_us = wait_us
    waits = RunQueueWaits()
    for at_us, waited_us in ((0, 0), (end_us - 1_000, 0), (end_us, end_us - start_us)):
        waits.add("n0", WaitSample(at_us, 7, waited_us))
    report = check_soak(1, [], ClientObservations(awaited=[answer]), [], tmp_path, (), (), waits=waits)
    assert bool(report.violations) is violated, report.violations


@pytest.mark.parametrize(
    "loop_late_us, violated", [(0, True), (100_000, True), (300_000, False), (300_001, False)]
)
def test_loop_lag_of_the_soak_extends_the_deadline(tmp_path: Path, loop_late_us: int, violated: bool) -> None:
    """Guards against violations from timely answers that the soak, itself without a CPU, read late."""
    answered_us = SECOND + 315_000
    records = [
        rec.RequestSent(0, ID, 0, "n0", "board", "s", "", 0, "r", SECOND),
        rec.ResponseReceived(answered_us, ID, 0, 0),
    ]
    answer = AwaitedAnswer(ID, "n0", SECOND, answered_us, answered=True, tolerance_us=loop_late_us)
    report = check_log(tmp_path, [*CLASSES, *records], ClientObservations(awaited=[answer]))
    assert any(text.startswith("rule 1") for text in report.violations) is violated, report.violations


def test_report_contains_max_loop_lag(tmp_path: Path) -> None:
    report = check_soak(1, [], ClientObservations(), [], tmp_path, (), (), max_loop_lag_us=400_000)
    assert report.counts[MAX_LOOP_LAG] == 400_000

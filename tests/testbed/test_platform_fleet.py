"""Driver processes under faults of processes, links and members, checked against the five rules.

Seeded bugs in the program must be found by the same checkers.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from juniperreel.fakes.script import ScriptError, parse
from juniperreel.net import TcpNetwork
from juniperreel.testbed.scenario import DRIVER_PROGRAM
from juniperreel.testbed.single_process_trial import SingleProcessTrial
from juniperreel.verification import records as rec
from juniperreel.verification import spread
from juniperreel.verification.history import Violation
from juniperreel.verification.rules import check_all

SECOND = 1_000_000
SETTINGS = """
groups 2
members 3
edges 5
sessions 20
seed 5
list-delay 300ms
primary-delay 300ms
"""
FAULTS = """
last 10s
at 1s edge-kill edge/0 back 500ms
at 1s edge-kill edge/1 back 500ms
at 1500ms for 1500ms link-cut edge/2 to g0/primary
at 2s for 400ms edge-stall edge/3
at 3s for 2s lag g1/replica 2000
at 4s kill g0/primary back 3s
at 5s for 1500ms link-deaf edge/4 to g1
at 6s link-reset edge/* to all
at 6500ms for 2s fail g1/replica 80%
at 7s for 1s link-cut edge/* to list
at 7s drain g1/primary
at 8s for 1s link-slow edge/* to all 20ms
"""
# A draining member rejects requests, and a driver that reacts to that may avoid it before the drain grace
# ends. This driver ignores all outcomes, so that it certainly violates the rule, even on a slow machine.
IGNORES_OUTCOMES = """
EndpointTracker.may_receive = lambda *_: True
for part in (OutlierDetector, SlowStart, Selection, LoadShedder):
    part.on_outcome = lambda *_: None
PrimaryTracker.observe_response = lambda *_: None
"""
FAULTY_PROGRAM = """
import sys
from juniperreel.routing.endpoint_state import (EndpointState)
from juniperreel.routing.estimators import (SuccessRate)
from juniperreel.routing.policy.endpoint_list import (EndpointTracker)
from juniperreel.routing.policy.freshness import (Freshness)
from juniperreel.routing.policy.outlier import (OutlierDetector)
from juniperreel.routing.policy.position_checks import (PositionChecker)
from juniperreel.routing.policy.primary import (PrimaryTracker)
from juniperreel.routing.policy.retry import (RetryPolicy)
from juniperreel.routing.policy.selection import (Selection)
from juniperreel.routing.policy.shedding import (LoadShedder)
from juniperreel.routing.policy.slow_start import (SlowStart)
{bug}
from juniperreel.platform.run import (main)
from juniperreel.platform.signal_queue import (SignalQueue)
sys.exit(main(SignalQueue()))
"""


async def run_trial(
    directory: Path, script: str, pause_s: float = 0.15, bug: str = "", **more: Any
) -> tuple[SingleProcessTrial, dict[int, list[Violation]]]:
    program = ("-c", FAULTY_PROGRAM.format(bug=bug)) if bug else DRIVER_PROGRAM
    trial = SingleProcessTrial(parse(SETTINGS + script), TcpNetwork(), directory, pause_s, program, **more)
    directory.mkdir(exist_ok=True)
    await trial.run()
    return trial, check_all(trial.recorder.records)


def served_reads(trial: SingleProcessTrial) -> int:
    served = {
        r.request_id for r in trial.recorder.records if isinstance(r, rec.ResponseReceived) and r.status == 0
    }
    requests = [r for r in trial.recorder.records if isinstance(r, rec.RequestSent)]
    return sum(r.class_name == "board" and r.request_id in served for r in requests)


async def test_mixed_faults_break_no_rule(tmp_path: Path) -> None:
    trial, found = await run_trial(tmp_path, FAULTS)
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    answers = [r for r in trial.recorder.records if isinstance(r, rec.ResponseReceived)]
    assert sum(r.status == 0 for r in answers) > 0.9 * len(answers) > 300
    assert [trial.processes[n].starts for n in trial.names] == [2, 2, 1, 1, 1]
    for name in trial.names:
        assert not [e for e in trial.events(trial.processes[name]) if e["level"] == "error"]


@pytest.mark.parametrize(
    "rule, bug, script",
    [
        (5, "Freshness.is_fresh_enough = lambda *_: True", "last 6s\nat 1s for 4s lag g0 1e5\n"),
        (3, IGNORES_OUTCOMES, "last 7s\nat 1s drain g0/replica\n"),
        (1, "RetryPolicy.cannot_succeed = lambda *_: False", "last 9s\nat 500ms for 8s hang g0\n"),
    ],
)
async def test_a_planted_bug_is_found(tmp_path: Path, rule: int, bug: str, script: str) -> None:
    _, found = await run_trial(tmp_path, script, bug=bug)
    assert found[rule], "the checker missed the seeded bug"


async def test_low_traffic_drivers_read_from_primaries_instead_of_probing(tmp_path: Path) -> None:
    """Each driver sends a request to a group about every 1.5 s, and a position is valid for only 0.3 s."""
    quiet = "last 20s\n"  # about 75 reads; half as many gave chance results now and then
    now, found = await run_trial(tmp_path / "now", quiet, pause_s=3.0)
    assert not any(found.values())
    bug = "PositionChecker.prefers_primary = lambda *_: False"
    before, _ = await run_trial(tmp_path / "before", quiet, pause_s=3.0, bug=bug)
    assert served_reads(now) > 20
    assert served_reads(before) > 20
    assert now.probes / served_reads(now) < before.probes / served_reads(before)


async def test_silent_watches_hide_no_drain_from_drivers_of_a_large_fleet(tmp_path: Path) -> None:
    """Five drivers of a fleet of 400, whose calls after a refusal are spread over nine seconds."""
    script = "fleet 400\nask-every 4s\nlast 13s\nat 6s link-mute edge/* to list\nat 6500ms drain g0/replica\n"
    trial, found = await run_trial(tmp_path, script)
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    records = trial.recorder.records
    (muted,) = [r.at for r in records if isinstance(r, rec.Fault) and "link-mute" in r.text and r.active]
    for name in trial.names:  # by a new watch, before the drain that the old one missed counts as announced
        notified = [
            r.at
            for r in records
            if isinstance(r, rec.EndpointListed) and (r.edge, r.readiness) == (name, "draining")
        ]
        assert notified
        assert min(notified) < muted + 5 * SECOND


EJECTS_NOTHING = "EndpointState.eject = lambda *_: None"
IGNORES_SUCCESS_RATE = f"SuccessRate.observe = lambda *_, **__: None\n{EJECTS_NOTHING}"


@pytest.mark.parametrize(
    "bug, leaves",
    [
        pytest.param("", True, id="True"),
        pytest.param(EJECTS_NOTHING, True, id="by its success rate alone"),
        pytest.param(IGNORES_SUCCESS_RATE, False, id="False"),
    ],
)
async def test_drivers_leave_a_replica_that_fails_fast(tmp_path: Path, bug: str, leaves: bool) -> None:
    """Seeded variants detect a failing replica by its success rate alone, or not at all.

    Under load, health checks time out and eject members; one that only fails requests is not reinstated.
    """
    script = "groups 1\nmembers 5\nsessions 40\nlast 7s\nat 2s for 4s fail g0/1 100%\n"
    trial, found = await run_trial(tmp_path, script, pause_s=0.1, bug=bug)
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    on, off = [r.at for r in trial.recorder.records if isinstance(r, rec.Fault)]
    failing = share(trial, "g0-m1", on + SECOND, off)
    assert failing < 0.5 if leaves else failing > 0.6


async def test_recovered_replica_serves_bounded_reads_again(tmp_path: Path) -> None:
    """All reads have a staleness bound, which only a recently received position satisfies.

    The case without position checks is tested in virtual time (tests/emulator): on a loaded machine, delayed
    answers make drivers check positions anyway.
    """
    script = "groups 1\nmembers 4\nsessions 30\nlast 14s\nat 1s for 3s fail g0/1 100%\n"
    trial, found = await run_trial(tmp_path, script, 0.15, weights=(1.0, 0.0, 0.0))
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    _, off = [r.at for r in trial.recorder.records if isinstance(r, rec.Fault)]
    assert share(trial, "g0-m1", off + 6 * SECOND, off + 10 * SECOND) > 0.5


def share(trial: SingleProcessTrial, member: str, start: int, end: int) -> float:
    """Load of a replica of the first group between two times, relative to its fair share."""
    replicas = sorted(m.name for m in trial.fleet.groups[0].endpoints[1:])
    came = spread.arrivals(trial.recorder.records, replicas)
    cells = spread.count_by_bin(came, replicas, start, end, end - start)
    assert sum(c.count for c in cells) > 100, "the machine was too slow to tell"
    (cell,) = [c for c in cells if c.endpoint == member]
    return cell.share


@pytest.mark.parametrize(
    "steps, least",
    [
        pytest.param("at 1s edge-kill edge/random:70% back 300ms", 0.85, id="most drivers start together"),
        pytest.param("at 1s roll g0/1 1s\nat 2s roll g0/2 1s", 0.85, id="replicas are replaced"),
        pytest.param("at 1s kill zone:1 back 2s", 0.7, id="a zone is lost and comes back cold"),
        pytest.param("at 1s for 3s link-cut edge/zone:0 to zone:1", 0.8, id="zones are cut off"),
        pytest.param("at 1s for 3s lag random:50% 2000", 0.8, id="half of the members lag"),
        pytest.param(
            "at 1s for 300ms edge-stall edge/1\nat 2s for 300ms edge-stall edge/1", 0.9, id="one stalls"
        ),
        pytest.param(
            "at 1s for 4s link-slow edge/zone:0 to list 3s\nat 2s drain g0/1", 0.9, id="lists are late"
        ),
    ],
)
async def test_single_fault_kinds_break_no_rule(tmp_path: Path, steps: str, least: float) -> None:
    script = f"groups 1\nmembers 5\nsessions 16\ncold-span 3s\nlast 8s\n{steps}\n"
    trial, found = await run_trial(tmp_path, script, pause_s=0.2)
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    answers = [r for r in trial.recorder.records if isinstance(r, rec.ResponseReceived)]
    assert sum(r.status == 0 for r in answers) > least * len(answers) > 50
    # Every replica that is alive at the end receives requests again.
    now = max(r.at for r in answers)
    alive = {m.name for m in trial.fleet.endpoints.values() if m.alive and not m.draining}
    late = [a for a in spread.arrivals(trial.recorder.records, alive) if a.at > now - 3 * SECOND]
    assert {a.endpoint for a in late} == alive


def test_link_fault_requires_source_and_target() -> None:
    (step,) = parse("at 1s for 2s link-slow edge/1 to g0/primary 30ms").steps
    assert (step.target, step.other, step.value) == ("edge/1", "g0/primary", 30_000)
    with pytest.raises(ScriptError, match="to and a target"):
        parse("at 1s for 2s link-cut edge/1")
    with pytest.raises(ScriptError, match="too much behind"):
        parse("at 1s link-reset edge/1 to g0 g1")

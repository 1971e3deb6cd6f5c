"""Trials whose members, drivers and sessions run in several processes of the testbed."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest
import trio

from juniperreel.fakes.script import parse
from juniperreel.testbed.errors import ProcessLostError
from juniperreel.testbed.multi_process_trial import MultiProcessTrial
from juniperreel.testbed.picture import draw_picture
from juniperreel.testbed.scenario import is_busy_driver, targeted_drivers
from juniperreel.verification import records as rec
from juniperreel.verification import spread
from juniperreel.verification.rules import check_all

SECOND = 1_000_000
SETTINGS = (
    "groups 2\nmembers 4\nedges 7\nrate 60\nheavy 15\nlist-delay 300ms\nprimary-delay 300ms\ncold-span 4s\n"
)


def exists(pid: int) -> bool:
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    return status.rpartition(")")[2].split()[0] != "Z"


async def test_faults_apply_to_drivers_members_and_links_of_every_process(
    tmp_path: Path,
) -> None:
    script = parse(
        SETTINGS
        + "last 9s\n"
        + "at 1s edge-kill edge/random:30% back 300ms\n"
        + "at 2s for 1s link-cut edge/zone:0 to zone:1\n"
        + "at 4s drain g1/replica\n"
        + "at 4s kill g0/replica back 1s\n"
        + "at 5s for 1s link-cut edge/* to list\n"
    )
    trial = MultiProcessTrial(script, tmp_path, 2)
    progress: list[str] = []
    await trial.run(progress.append)
    found = check_all(trial.records)
    assert not any(found.values()), {n: [v.text for v in vs[:5]] for n, vs in found.items() if vs}
    assert [r.at for r in trial.records] == sorted(r.at for r in trial.records)
    targeted = set(targeted_drivers(script, script.steps[0]))
    assert {r.edge for r in trial.records if isinstance(r, rec.EdgeDown)} == targeted
    assert len(targeted) == 2
    why = {r.endpoint[:2]: r.cause for r in trial.records if isinstance(r, rec.EndpointStopped)}
    assert why["g0"] == "killed"
    updates = [r for r in trial.records if isinstance(r, rec.EndpointListed) and r.readiness == "draining"]
    assert {r.edge for r in updates} == set(trial.drivers), "each driver is notified of the drain"
    answers = [r for r in trial.records if isinstance(r, rec.ResponseReceived)]
    assert sum(r.status == 0 for r in answers) > 0.8 * len(answers) > 150
    assert sum(c.probes for c in trial.counts.values()) > 0
    assert len(trial.counts) == 4
    assert any("drivers" in text for text in progress)
    draw_picture(trial.records, tmp_path / "day.png")
    assert (tmp_path / "day.png").read_bytes()[1:4] == b"PNG"


async def test_load_is_distributed_by_the_heavy_setting(tmp_path: Path) -> None:
    script = parse(SETTINGS + "last 8s\n")
    trial = MultiProcessTrial(script, tmp_path, 1)
    await trial.run()
    requests = [r for r in trial.records if isinstance(r, rec.RequestSent)]
    assert 0.6 * 60 * 8 < len(requests) < 1.2 * 60 * 8
    counts = {n: sum(r.edge == n for r in requests) for n in trial.drivers}
    heavy = [n for i, n in enumerate(trial.drivers) if is_busy_driver(i, 0.15)]
    assert len(heavy) == 1
    assert counts[heavy[0]] > 2 * max(c for n, c in counts.items() if n not in heavy)
    came = spread.arrivals(
        trial.records, {r.endpoint for r in trial.records if isinstance(r, rec.AttemptReceived)}
    )
    assert {a.edge for a in came} == set(trial.drivers)


async def test_early_exit_of_a_trial_process_ends_the_trial_and_its_children(
    tmp_path: Path,
) -> None:
    trial = MultiProcessTrial(parse(SETTINGS + "last 60s\n"), tmp_path, 1)
    pids: list[int] = []

    async def end_one() -> None:
        folder = tmp_path / "drivers-0"
        while len(list(folder.glob("*.log"))) < 7:
            await trio.sleep(0.05)
        children = trial.processes["drivers-0"]
        text = Path(f"/proc/{children.pid}/task/{children.pid}/children").read_text()
        pids.extend(int(pid) for pid in text.split())
        children._signal(signal.SIGKILL)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_one)
        with pytest.RaisesGroup(ProcessLostError, flatten_subgroups=True):
            await trial.run()
    assert pids
    with trio.fail_after(30):
        while any(exists(pid) for pid in pids):
            await trio.sleep(0.05)

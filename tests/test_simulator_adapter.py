"""Simulator adapter: a hand-written transcript, unusual but valid input, malformed input, determinism."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from juniperreel import simulator_adapter
from juniperreel.routing.types import Action, AttemptEnded, Readiness, Role
from juniperreel.simulator_adapter import Adapter

ROOT = Path(__file__).parent.parent


def instance_config(**changes: Any) -> str:
    """The settings object of one instance as the simulator sends it; `changes` override top-level fields."""
    service = {
        "name": "view",
        "deadline_s": 1.0,
        "effect": "repeatable",
        "key_scope": "all",
        "late_worth": 0.1,
        "memory_span_s": 1.0,
        "objective_s": 0.3,
        "stream": False,
        "worth": 1.0,
        "unknown_key": 5,
    }
    raw: dict[str, Any] = {
        "balancers": 2,
        "ceilings": {
            "cancelling": True,
            "max_attempts": 4,
            "max_retry_after_s": 0.5,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
        },
        "membership_mode": "push",
        "prices": {"waste": 0.01},
        "rules": {
            "cold_from": 0.2,
            "cold_s": 10.0,
            "fall_multiple": 2.0,
            "grace_to_answer_s": 0.02,
            "overload_for_s": 2.0,
            "stop_sending_within_s": 1.0,
        },
        "services": [service, {**service, "name": "save", "effect": "by_key", "key_scope": "cell"}],
        "specifics": {
            "consistency": ["any", "write"],
            "guards": "off",
            "lag_allowed_s": [0.0, 0.0],
            "position_zero_s": 10.5,
            "positions": True,
            "shows_role": "late",
            "token_mode": "remembered",
        },
        "zone": 0,
        **changes,
    }
    return json.dumps(raw)


def run_transcript(text: str) -> list[str]:
    """The adapter's reply to the simulator's lines."""
    sink = io.StringIO()
    simulator_adapter.serve(io.StringIO(text), sink)
    return sink.getvalue().splitlines()


START_TRANSCRIPT = f"""CLOCK ts_s=20
ENLIST random_seed=3 driver=driver/0 config={instance_config()}
TABLE ref=0 rows_in=2
ITEM member=a:1 zone=0 model=0 group=1 readiness=IN is_primary=1 size=1
ITEM size=2 group=1 member=b:1 extra=7
UPDATE driver=driver/0 ref=0 gen=1 mode=Persisted
FLUSH
"""
START_BATCH = START_TRANSCRIPT.splitlines()[:-1]  # without the FLUSH that ends it


def started_adapter() -> Adapter:
    """An adapter that hosts the instance `driver/0`, with two endpoints."""
    adapter = Adapter()
    adapter.process_batch(START_BATCH)
    return adapter


def test_transcript_of_an_instances_life_is_answered_line_by_line() -> None:
    text = (
        "CLOCK ts_s=19.5\nFLUSH\n"
        + START_TRANSCRIPT
        + """CLOCK ts_s=20.1
ORDER driver=driver/0 ref=00000000000000aa priority=1 group_no=1 client_deadline_s=21 conn_key=k update=1
FLUSH
CLOCK ts_s=20.15
RESULT ref=00000000000000aa driver=driver/0 member=a:1 outcome=GOOD spent_s=0.05 done_flag=1 stamp=38593
FLUSH
CLOCK ts_s=20.2
ORDER driver=driver/0 ref=00000000000000ab priority=0 group_no=9 client_deadline_s=20.2
EXPIRED driver=driver/0 ref=00000000000000ac
FLUSH
CLOCK ts_s=20.3
DESTROY driver=driver/0
FLUSH
"""
    )
    reply = run_transcript(text)
    assert reply[0] == "ACK"
    assert "CALL_OUT driver=driver/0 ref=00000000000000aa member=a:1 allow_for_s=0.3" in reply
    assert "OVERLOAD_REPLY driver=driver/0 ref=00000000000000ab not_before_for_s=0.5" in reply
    assert reply.count("ACK") == 6
    assert reply[-1] == "ACK"


def test_table_number_used_again_in_one_batch_is_resolved_in_event_order() -> None:
    adapter = started_adapter()
    adapter.process_batch(
        """CLOCK ts_s=21
TABLE ref=0 rows_in=1
ITEM member=a:1 group=1 readiness=LAME
UPDATE driver=driver/0 ref=0 gen=2 mode=Partial
TABLE ref=0 rows_in=1
ITEM member=c:1 group=1
UPDATE driver=driver/0 ref=0 gen=3 mode=Partial""".splitlines()
    )
    endpoints = adapter.instances["driver/0"].router.state.endpoints
    assert endpoints["a:1"].info.readiness is Readiness.DRAINING
    assert sorted(endpoints) == ["a:1", "b:1", "c:1"]


def test_instance_destroyed_and_enlisted_in_one_batch_is_restarted() -> None:
    adapter = started_adapter()
    enlist = START_BATCH[1]
    adapter.process_batch(["CLOCK ts_s=22", "DESTROY driver=driver/0", enlist])
    assert adapter.instances["driver/0"].router.state.endpoints == {}


def test_seconds_read_as_microseconds_are_rounded_to_the_safe_side() -> None:
    assert simulator_adapter.microseconds_down("0.0000019") == 1
    assert simulator_adapter.microseconds_up("0.0000011") == 2


def test_microseconds_written_as_seconds_are_exact() -> None:
    assert simulator_adapter.render_seconds(1_500_000) == "1.5"
    assert simulator_adapter.render_seconds(1) == "0.000001"


def test_result_with_stamp_and_gauge_is_read_as_role_position_and_load_report() -> None:
    hosted = started_adapter().instances["driver/0"]
    fields = {
        "ref": "x",
        "member": "a:1",
        "outcome": "MISS",
        "stamp": str(4 * 1234 + 2),
        "gauge": "x0:1.0000019,z:4",
    }
    event = hosted.read_event(simulator_adapter.Message("RESULT", fields))
    assert isinstance(event, AttemptEnded)
    assert event.load_report is not None
    assert event.position_us == 10_500_000 + 1_234_000
    assert event.role is Role.REPLICA
    assert event.load_report.position_us == 11_500_001
    assert event.load_report.is_primary is None


@pytest.mark.parametrize(
    "text",
    [
        "NONSENSE\nFLUSH\n",
        "CLOCK\nFLUSH\n",
        "CLOCK ts_s=1\nBELL driver=driver/9 key_back=1\nFLUSH\n",
        "CLOCK ts_s=1\nENLIST driver=driver/0 random_seed=1 config={}\nFLUSH\n",
        "CLOCK ts_s=1\nTABLE ref=0 rows_in=2\nITEM member=a group=1\nFLUSH\n",
        "CLOCK ts_s=1\n",
        "CLOCK ts_s=x\nFLUSH\n",
    ],
)
def test_malformed_input_ends_the_adapter_with_one_line_on_standard_error(
    text: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "stdin", io.StringIO(text))
    assert simulator_adapter.main() != 0
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_exception_in_the_router_is_reported_in_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[Action]:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr("juniperreel.routing.router.Router.handle", broken)
    assert run_transcript(START_TRANSCRIPT)[0] == "BUG driver=driver/0 reason_text=RuntimeError: two lines"


def many_requests(instances: list[int]) -> str:
    """A transcript in which each instance gets a request in each of 40 batches."""
    lines = ["CLOCK ts_s=20", "TABLE ref=0 rows_in=4"]
    lines += [f"ITEM member={name}:1 group=1 is_primary={int(name == 'a')}" for name in "abcd"]
    for instance in instances:
        seed = instance + 5
        lines.append(f"ENLIST driver=driver/{instance} random_seed={seed} config={instance_config()}")
        lines.append(f"UPDATE driver=driver/{instance} ref=0 gen=1 mode=Persisted")
    lines.append("FLUSH")
    for step in range(40):
        lines.append(f"CLOCK ts_s={20.01 + step / 100}")
        for instance in instances:
            ref = f"{instance:08x}{step:08x}"
            order = f"ORDER driver=driver/{instance} ref={ref} priority=0 group_no=1 client_deadline_s=22"
            lines.append(order)
        lines.append("FLUSH")
    return "\n".join(lines) + "\n"


def actions_by_instance(reply: str) -> dict[str, list[str]]:
    """The action lines of a reply, by instance."""
    actions: dict[str, list[str]] = {}
    for line in reply.splitlines():
        if line != "ACK":
            instance = line.split()[1]
            actions.setdefault(instance, []).append(line)
    return actions


def run_in_a_process(instances: list[int], hash_seed: str) -> dict[str, list[str]]:
    """Run these instances in a process with this hash seed, and return their actions."""
    completed = subprocess.run(
        [sys.executable, "-m", "juniperreel.simulator_adapter"],
        input=many_requests(instances),
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
    return actions_by_instance(completed.stdout)


def test_actions_under_other_hash_seeds_and_in_other_processes_are_the_same() -> None:
    together = run_in_a_process([0, 1, 2], "1")
    alone = {
        **run_in_a_process([0], "2"),
        **run_in_a_process([1], "3"),
        **run_in_a_process([2], "4"),
    }
    assert together == run_in_a_process([0, 1, 2], "77")
    assert together == alone
    assert len(together["driver=driver/0"]) >= 40

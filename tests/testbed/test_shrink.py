"""Shrinking of failing scripts, without running them."""

from __future__ import annotations

import pytest

from juniperreel.fakes.script import Script, parse, render
from juniperreel.testbed.shrink import candidates, has_all_targets, shrink

SCRIPT = """
groups 3
members 6
edges 40
sessions 60
rate 300
seed 9
last 30s
list-delay 300ms
at 1s edge-kill edge/random:30% back 500ms
at 2s for 1500ms link-cut edge/2 to g0/primary
at 3s drain g0/replica
at 4s for 2s lag g1/replica 2000
at 6s link-reset edge/* to all
at 7s for 1s link-cut edge/zone:1 to list
"""


async def test_irrelevant_steps_and_settings_are_removed() -> None:
    runs = 0

    async def fails(script: Script) -> bool:
        """Fail if the script drains a member and has at least three drivers."""
        nonlocal runs
        runs += 1
        return any(s.fault == "drain" for s in script.steps) and script["edges"] >= 3

    found = await shrink(parse(SCRIPT), fails, 200)
    assert [s.fault for s in found.steps] == ["drain"]
    assert found["edges"] == 5
    assert found["members"] == 2
    assert found["groups"] == 1
    assert found["last"] == 5_000_000
    assert runs < 40


async def test_run_limit_is_respected() -> None:
    runs = 0

    async def fails(_: Script) -> bool:
        nonlocal runs
        runs += 1
        return True

    await shrink(parse(SCRIPT), fails, 3)
    assert runs == 3


def test_targets_named_by_number_are_kept() -> None:
    script = parse("groups 2\nmembers 4\nedges 6\nat 1s edge-kill edge/4\nat 2s for 1s slow g1/3 0.5\n")
    assert has_all_targets(script)
    found = [d for d in candidates(script) if has_all_targets(d)]
    assert all(d["edges"] == 6 or not any("edge/4" in s.target for s in d.steps) for d in found)
    assert all(d["groups"] == 2 or not any("g1" in s.target for s in d.steps) for d in found)
    assert {len(d.steps) for d in found} == {1, 2}


@pytest.mark.parametrize("text", [SCRIPT, "", "mysql 20\nread-work 1234us\n".replace("1234us", "1.234ms")])
def test_rendered_script_parses_to_the_same_script(text: str) -> None:
    script = parse(text)
    again = parse(render(script))
    assert again.settings == script.settings
    assert [(s.at_us, s.text) for s in again.steps] == [(s.at_us, s.text) for s in script.steps]

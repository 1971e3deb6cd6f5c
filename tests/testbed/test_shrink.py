"""Failing scripts made smaller, without playing them."""

from __future__ import annotations

import pytest

from juniperreel.fakes.script import Script, parse, render
from juniperreel.testbed.shrink import candidates, has_all_targets, shrink

DAY = """
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


async def test_what_does_not_matter_is_dropped() -> None:
    plays = 0

    async def fails(day: Script) -> bool:
        """Only the drain matters, with a third driver to carry it out, as it were."""
        nonlocal plays
        plays += 1
        return any(s.fault == "drain" for s in day.steps) and day["edges"] >= 3

    found = await shrink(parse(DAY), fails, 200)
    assert [s.fault for s in found.steps] == ["drain"]
    assert found["edges"] == 5
    assert found["members"] == 2
    assert found["groups"] == 1
    assert found["last"] == 5_000_000
    assert plays < 40


async def test_no_more_plays_than_were_allowed() -> None:
    plays = 0

    async def fails(_: Script) -> bool:
        nonlocal plays
        plays += 1
        return True

    await shrink(parse(DAY), fails, 3)
    assert plays == 3


def test_what_faults_name_by_number_stays() -> None:
    day = parse("groups 2\nmembers 4\nedges 6\nat 1s edge-kill edge/4\nat 2s for 1s slow g1/3 0.5\n")
    assert has_all_targets(day)
    found = [d for d in candidates(day) if has_all_targets(d)]
    assert all(d["edges"] == 6 or not any("edge/4" in s.target for s in d.steps) for d in found)
    assert all(d["groups"] == 2 or not any("g1" in s.target for s in d.steps) for d in found)
    assert {len(d.steps) for d in found} == {1, 2}


@pytest.mark.parametrize("text", [DAY, "", "mysql 20\nread-work 1234us\n".replace("1234us", "1.234ms")])
def test_a_script_is_rendered_and_read_again(text: str) -> None:
    day = parse(text)
    again = parse(render(day))
    assert again.settings == day.settings
    assert [(s.at_us, s.text) for s in again.steps] == [(s.at_us, s.text) for s in day.steps]

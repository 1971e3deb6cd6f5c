"""Model-based tests of GTID sets."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.pool.errors import InvalidGtidError
from juniperreel.pool.gtid import Gtid, GtidSet

SOURCE_A = "3e11fa47-71ca-11e1-9e33-c80aa9429562"
SOURCE_B = "4e11fa47-71ca-11e1-9e33-c80aa9429562"
intervals = st.lists(st.tuples(st.integers(1, 40), st.integers(0, 10)), min_size=1, max_size=6)


@given(
    st.dictionaries(st.sampled_from([SOURCE_A, SOURCE_B.upper(), f"{SOURCE_A}:tag"]), intervals, max_size=3),
    st.booleans(),
)
def test_gtid_set_contains_exactly_the_transactions_in_its_text(
    sets: dict[str, list[tuple[int, int]]], with_whitespace: bool
) -> None:
    text = (",\n" if with_whitespace else ",").join(
        f"{source}:" + ":".join(f"{a}-{a + n}" if n else str(a) for a, n in pairs)
        for source, pairs in sets.items()
    )
    gtid_set = GtidSet.parse(text)
    for source in (SOURCE_A, SOURCE_B, f"{SOURCE_A}:tag"):
        pairs = next((p for s, p in sets.items() if s.lower() == source), [])
        expected = {n for a, size in pairs for n in range(a, a + size + 1)}
        assert {n for n in range(60) if Gtid(source, n) in gtid_set} == expected
    for merged in gtid_set.intervals.values():
        assert all(a[1] + 1 < b[0] for a, b in pairwise(merged))


def test_gtid_parse_requires_exactly_one_source() -> None:
    assert Gtid.parse(f"{SOURCE_A}:7") == Gtid(SOURCE_A, 7)
    assert Gtid.parse(f"{SOURCE_A}:1-7") == Gtid(SOURCE_A, 7)
    for invalid in (
        "",
        f"{SOURCE_A}:1,{SOURCE_B}:1",
        SOURCE_A,
        f"{SOURCE_A}:0",
        f"{SOURCE_A}:5-3",
        f"{SOURCE_A}:x-3",
        "nonsense:1",
        f"{SOURCE_A}:1;drop",
    ):
        with pytest.raises(InvalidGtidError):
            Gtid.parse(invalid)
    with pytest.raises(InvalidGtidError):
        GtidSet.parse("x" * (2 << 20))

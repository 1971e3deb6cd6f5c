"""Recordings: whatever is written can be read again."""

from __future__ import annotations

from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from juniperreel.verification import records as rec

KINDS = rec.Record.__subclasses__()
VALUES: dict[Any, Any] = {
    int: 1,
    str: "x",
    bool: True,
    float: 0.5,
    list[str]: ["a"],
    dict[str, str]: {"a": "b"},
}


def example(kind: type[rec.Record]) -> rec.Record:
    return kind(**{f.name: VALUES[f.type] for f in msgspec.structs.fields(kind)})


def test_every_kind_of_record_can_be_read(tmp_path: Path) -> None:
    """Danger: a kind that is written and not known to the reader makes a whole recording useless."""
    assert set(get_args(rec.Any)) == set(KINDS)
    path = tmp_path / "recording"
    with path.open("wb") as out:
        recorder = rec.Recorder(out)
        for kind in KINDS:
            recorder(example(kind))
    assert list(rec.read(path)) == recorder.records


def test_a_line_that_is_none_is_told_by_number(tmp_path: Path) -> None:
    path = tmp_path / "recording"
    path.write_text('{"type":"EdgeUp","at":1,"edge":"n1"}\n{"type":"Nothing","at":1}\n')
    with pytest.raises(rec.BadRecording, match="recording:2"):
        list(rec.read(path))

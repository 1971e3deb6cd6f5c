"""Recordings can be read back, including those that earlier versions wrote."""

from __future__ import annotations

from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from juniperreel.verification import records as rec
from juniperreel.verification.errors import RecordingFormatError

KINDS = rec.Record.__subclasses__()
VALUES: dict[Any, Any] = {
    int: 1,
    str: "x",
    bool: True,
    float: 0.5,
    list[str]: ["a"],
    dict[str, str]: {"a": "b"},
}

# One line of every kind of record in the stored format, written before the classes and fields were renamed in
# the code. The value of each field encodes its position.
STORED_LINES = Path(__file__).with_name("stored_records.jsonl").read_bytes().splitlines()
POSITIONAL_VALUES: dict[Any, Any] = {
    int: lambda position: position,
    str: lambda position: f"s{position}",
    bool: bool,
    float: lambda position: position + 0.5,
    list[str]: lambda position: [f"a{position}"],
    dict[str, str]: lambda position: {"k": f"v{position}"},
}


def example(kind: type[rec.Record]) -> rec.Record:
    return kind(**{f.name: VALUES[f.type] for f in msgspec.structs.fields(kind)})


def positional_example(kind: type[rec.Record]) -> rec.Record:
    fields = msgspec.structs.fields(kind)
    return kind(*[POSITIONAL_VALUES[f.type](position) for position, f in enumerate(fields, 1)])


def test_every_kind_of_record_can_be_read(tmp_path: Path) -> None:
    """A kind that is written but unknown to the reader would make the whole recording unreadable."""
    assert set(get_args(rec.AnyRecord)) == set(KINDS)
    path = tmp_path / "recording"
    with path.open("wb") as out:
        recorder = rec.Recorder(out)
        for kind in KINDS:
            recorder(example(kind))
    assert list(rec.read_recording(path)) == recorder.records


def test_line_that_is_no_record_is_reported_by_number(tmp_path: Path) -> None:
    path = tmp_path / "recording"
    path.write_text('{"type":"EdgeUp","at":1,"edge":"n1"}\n{"type":"Nothing","at":1}\n')
    with pytest.raises(RecordingFormatError, match="recording:2") as error:
        list(rec.read_recording(path))
    assert (error.value.path, error.value.line) == (path, 2)


def test_stored_lines_hold_every_kind_of_record() -> None:
    decoder = msgspec.json.Decoder(rec.AnyRecord)
    assert {type(decoder.decode(line)) for line in STORED_LINES} == set(KINDS)


@pytest.mark.parametrize("line", STORED_LINES, ids=[f"line{n}" for n in range(1, len(STORED_LINES) + 1)])
def test_line_of_an_earlier_version_is_read_field_by_field_and_written_the_same(line: bytes) -> None:
    record = msgspec.json.Decoder(rec.AnyRecord).decode(line)
    if record != rec.ResponseReceived(5, "q1", 0, 14):  # the one line that omits defaults
        assert record == positional_example(type(record))
    assert msgspec.json.encode(record) == line

"""The generated protobuf code is up to date with the .proto files."""

from __future__ import annotations

import subprocess
import sys
from importlib import import_module
from pathlib import Path

import pytest
from google.protobuf import descriptor_pb2

ROOT = Path(__file__).parent.parent
PROTOS = sorted(p.relative_to(ROOT) for p in (ROOT / "juniperreel" / "proto").rglob("*.proto"))


@pytest.mark.parametrize("proto", PROTOS, ids=[p.stem for p in PROTOS])
def test_generated_code_is_up_to_date(proto: Path, tmp_path: Path) -> None:
    """Compares descriptors, because other versions of protoc generate different code for the same file."""
    out = tmp_path / "descriptors"
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        "-I",
        ".",
        f"--descriptor_set_out={out}",
        str(proto),
    ]
    subprocess.run(command, cwd=ROOT, check=True)
    fresh = descriptor_pb2.FileDescriptorSet.FromString(out.read_bytes()).file[0]
    module = import_module(str(proto.with_suffix("")).replace("/", ".") + "_pb2")
    kept = descriptor_pb2.FileDescriptorProto.FromString(module.DESCRIPTOR.serialized_pb)
    for file in (fresh, kept):
        file.ClearField("source_code_info")
        for message in file.message_type:
            for field in message.field:
                field.ClearField("json_name")
            for nested in message.nested_type:
                for field in nested.field:
                    field.ClearField("json_name")
    assert kept == fresh

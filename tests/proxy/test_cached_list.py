"""Tests of the cached endpoint list: it is replaced atomically, and readable by later releases."""

from __future__ import annotations

from pathlib import Path

import pytest

from juniperreel.proxy.cached_list import load_cached_list, save_cached_list
from juniperreel.proxy.endpoint_list import parse_endpoint
from tests.proxy.builders import list_entry, listed_endpoint


def test_cached_list_is_loaded_complete_or_rejected(tmp_path: Path) -> None:
    path = tmp_path / "hosts"
    endpoint = parse_endpoint(list_entry(started=7), 3)
    assert endpoint is not None
    assert load_cached_list(path, 3) == ([], 0) == load_cached_list(None, 3)
    save_cached_list(path, [endpoint], 7)
    assert load_cached_list(path, 3) == ([endpoint], 7)
    assert [p.name for p in tmp_path.iterdir()] == ["hosts"]
    complete = path.read_bytes()
    for invalid in (b"", complete[:-3], b"[]", complete.replace(b'"format":1', b'"format":9')):
        path.write_bytes(invalid)
        with pytest.raises(ValueError, match="hosts"):
            load_cached_list(path, 3)


STORED_BY_EARLIER_RELEASE = (
    b'{"format":1,"hosts":[{"id":"m1","address":"127.0.0.1","port":5,"group":0,"zone":1,"kind":2,"readiness":'
    b'"up","primary":true,"size":1.5,"started_us":7},{"id":"m2","address":"127.0.0.1","port":6,"group":1,'
    b'"zone":0,"kind":0,"readiness":"draining","primary":false,"size":1.0,"started_us":0}],"version":7}'
)


def test_list_stored_by_an_earlier_release_is_loaded_and_saved_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "hosts"
    path.write_bytes(STORED_BY_EARLIER_RELEASE)
    endpoints, version = load_cached_list(path, 3)
    assert endpoints == [
        listed_endpoint(
            "m1", port=5, zone=1, machine_type=2, listed_primary=True, capacity=1.5, started_us=7
        ),
        listed_endpoint("m2", port=6, group=1, readiness="draining"),
    ]
    save_cached_list(path, endpoints, version)
    assert path.read_bytes() == STORED_BY_EARLIER_RELEASE


def test_save_on_a_full_disk_leaves_the_previous_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "hosts"
    endpoint = parse_endpoint(list_entry(), 3)
    assert endpoint is not None
    save_cached_list(path, [endpoint])

    def disk_full(_descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", disk_full)
    with pytest.raises(OSError, match="space"):
        save_cached_list(path, [])
    assert load_cached_list(path, 3) == ([endpoint], 0)
    assert [p.name for p in tmp_path.iterdir()] == ["hosts"]

"""The last good endpoint list on disk, for a start without discovery."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from juniperreel.proxy.endpoint_list import ListedEndpoint
from juniperreel.proxy.errors import CachedListError
from juniperreel.routing.types import (
    Readiness,
)

FORMAT = 1
FILE_MODE = 0o644


class StoredList(msgspec.Struct, frozen=True, rename={"endpoints": "hosts"}):
    """The file's content; stored fields keep their names."""

    format: int
    endpoints: list[ListedEndpoint]
    version: int = 0  # of the configuration it comes from; 0 from the discovery service


class CachedList(NamedTuple):
    """A cached endpoint list and the configuration version it comes from."""

    endpoints: list[ListedEndpoint]
    version: int


def load_cached_list(path: Path | None, groups: int) -> CachedList:
    """The cached list, without entries of unknown groups; empty where there is none.

    Raises CachedListError.
    """
    if path is None or not path.exists():
        return CachedList([], 0)
    try:
        stored = msgspec.json.decode(path.read_bytes(), type=StoredList)
    except msgspec.DecodeError as error:
        raise CachedListError(path, f"is not a saved endpoint list: {error}") from error
    if stored.format != FORMAT:
        raise CachedListError(path, f"has format {stored.format}; this program reads {FORMAT}")
    readiness_values = {readiness.value for readiness in Readiness}
    endpoints = [
        endpoint
        for endpoint in stored.endpoints
        if endpoint.group < groups and endpoint.readiness in readiness_values
    ]
    return CachedList(endpoints, stored.version)


def save_cached_list(path: Path, endpoints: list[ListedEndpoint], version: int = 0) -> None:
    """Replace the file atomically: written beside it, synced, then renamed over it. Raises OSError."""
    temporary = path.with_suffix(path.suffix + ".new")
    data = msgspec.json.encode(StoredList(FORMAT, endpoints, version))
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        with os.fdopen(descriptor, "wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise

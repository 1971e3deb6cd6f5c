"""Caches the last valid endpoint list on disk, so that the edge can start without discovery."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import trio

from juniperreel.proxy.endpoint_list import EndpointSource, ListedEndpoint
from juniperreel.proxy.errors import CachedListError
from juniperreel.routing.types import Readiness

FORMAT = 1
FILE_MODE = 0o644
WRITE_INTERVAL_S = 1.0


class StoredList(msgspec.Struct, frozen=True, rename={"endpoints": "hosts"}):
    """The content of the file; `rename` keeps its field names."""

    format: int
    endpoints: list[ListedEndpoint]
    version: int = 0  # of the configuration; 0 for lists from the discovery service


class CachedList(NamedTuple):
    """A cached endpoint list and the version of its configuration."""

    endpoints: list[ListedEndpoint]
    version: int


def load_cached_list(path: Path | None, groups: int) -> CachedList:
    """Load the cached list without entries of unknown groups; an empty list if there is no file.

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
    """Replace the file atomically: write a temporary file, sync it and rename it. Raises OSError."""
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


class CachedListWriter:
    """Writes a source's list to disk after changes, at most once per `WRITE_INTERVAL_S`."""

    def __init__(self, path: Path, source: EndpointSource, log: Any) -> None:
        self._path = path
        self._source = source
        self._log = log
        self._changed = trio.Event()

    def list_changed(self) -> None:
        """Schedule a write of the list."""
        self._changed.set()

    async def run(self) -> None:
        """Write the list after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            endpoints = list(self._source.endpoints.values())
            version = self._source.version
            try:
                await trio.to_thread.run_sync(save_cached_list, self._path, endpoints, version)
            except OSError as error:  # requests are served even if the disk is full
                self._log.error("endpoint list not saved", error=str(error))
            await trio.sleep(WRITE_INTERVAL_S)

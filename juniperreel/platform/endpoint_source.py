"""Interface between the driver and its source of endpoint lists."""

from __future__ import annotations

from typing import Protocol


class EndpointSource(Protocol):
    """Discovery operations used by the driver."""

    def subscribe(self, enabled: bool) -> None:
        """Open or close a watch on the endpoint list."""
        ...

    def fetch(self) -> None:
        """Poll the endpoint list once."""
        ...

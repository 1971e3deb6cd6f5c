"""What the driver needs of whoever tells it of endpoints."""

from __future__ import annotations

from typing import Protocol


class EndpointSource(Protocol):
    """What the driver needs of discovery."""

    def subscribe(self, enabled: bool) -> None:
        """Open a watch of the endpoint list, or end it."""
        ...

    def fetch(self) -> None:
        """Poll the endpoint list once."""
        ...

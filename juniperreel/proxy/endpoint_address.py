"""Where an endpoint listens."""

from __future__ import annotations

from typing import NamedTuple


class EndpointAddress(NamedTuple):
    """Host and port of one endpoint."""

    host: str
    port: int

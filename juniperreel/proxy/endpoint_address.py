"""The network address of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointAddress(NamedTuple):
    """Host and port on which an endpoint listens."""

    host: str
    port: int

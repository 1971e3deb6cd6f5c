"""Ids of requests that are unique across the edges of a fleet and their restarts. Performs no I/O."""

from __future__ import annotations

import random
from itertools import count


class RequestIds:
    """Generates the ids of one incarnation of an edge.

    If the ids depended on the seed alone, a restarted edge would reuse those of its previous incarnation, and
    two requests with the same id would be taken for one.
    """

    def __init__(self, edge_name: str, random_source: random.Random, now_us: int) -> None:
        incarnation = (random_source.getrandbits(32) ^ now_us) & 0xFFFFFFFF
        self._prefix = f"{edge_name}-{incarnation:08x}-"
        self._numbers = count()

    def next_id(self) -> str:
        """Return an id that was not returned before."""
        return f"{self._prefix}{next(self._numbers):x}"

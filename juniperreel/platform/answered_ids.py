"""The ids of recently answered requests. Performs no I/O.

A request that reuses one of them would be executed again. Ids are kept as integers, which take a third of the
memory of their texts: a client may send thousands of requests a second, each with a new id.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice

MAX_IDS = 20_000
TTL_US = 30_000_000
SLICE_US = 1_000_000
MAX_SLICE_IDS = 1_000
HEXADECIMAL = 16


@dataclass(slots=True)
class Slice:
    """Consecutive ids that are forgotten together."""

    until_us: int  # the latest answer
    count: int


class AnsweredIds:
    """A set of ids, bounded in size and age. The oldest are forgotten in slices."""

    def __init__(self) -> None:
        """Start without ids."""
        self._ids: dict[int, None] = {}  # oldest first
        self._slices: deque[Slice] = deque()

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, request_id: str) -> bool:
        return int(request_id, HEXADECIMAL) in self._ids

    def add(self, request_id: str, now_us: int) -> None:
        """Add the hexadecimal id of a request that was answered, unless it is known already."""
        number = int(request_id, HEXADECIMAL)
        if number in self._ids:
            return
        self._ids[number] = None
        last = self._slices[-1] if self._slices else None
        if last is None or last.count == MAX_SLICE_IDS or now_us - last.until_us > SLICE_US:
            last = Slice(now_us, 0)
            self._slices.append(last)
        last.until_us = now_us
        last.count += 1
        while len(self._ids) > MAX_IDS or now_us - self._slices[0].until_us > TTL_US:
            self._forget_oldest_slice()

    def _forget_oldest_slice(self) -> None:
        oldest = self._slices.popleft()
        for number in list(islice(self._ids, oldest.count)):
            del self._ids[number]

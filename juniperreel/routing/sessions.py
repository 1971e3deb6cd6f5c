"""Latest commits by session, which reads of the session must observe.

A session is kept as a number that combines its group and a hash of its name: names may be long, and there may
be thousands of new ones a second. Two sessions with the same number share the later of their commits, which
asks more of their reads than necessary and never less.
"""

from __future__ import annotations

from dataclasses import dataclass

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1


@dataclass(frozen=True, slots=True)
class EvictedSession:
    """A session that was evicted from the table."""

    group: int
    commit_us: int


class SessionTable:
    """The latest commit of each session, least recently written first; bounded in size and age."""

    def __init__(self, max_sessions: int, ttl_us: int) -> None:
        self._max_sessions = max_sessions
        self._ttl_us = ttl_us
        self._commits: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._commits)

    def commit_us(self, key: tuple[int, str | None]) -> int | None:
        """Return the session's latest commit, or None if the session is not in the table."""
        return self._commits.get(_number(key))

    def record(self, key: tuple[int, str | None], commit_us: int) -> None:
        """Record a commit; a session's commit time never decreases."""
        number = _number(key)
        self._commits[number] = max(commit_us, self._commits.pop(number, commit_us))

    def clear(self) -> None:
        """Remove all sessions."""
        self._commits.clear()

    def evict_one(self, now_us: int) -> EvictedSession | None:
        """Evict and return the oldest session if the table is too large or the session has expired."""
        if not self._commits:
            return None
        oldest = next(iter(self._commits))
        if len(self._commits) <= self._max_sessions and self._commits[oldest] >= now_us - self._ttl_us:
            return None
        return EvictedSession(oldest >> HASH_BITS, self._commits.pop(oldest))


def _number(key: tuple[int, str | None]) -> int:
    """Return a session's number, from which its group can be told."""
    group, name = key
    return group << HASH_BITS | hash(name) & HASH_MASK

"""Latest commits by session, which reads of the session must observe."""

from __future__ import annotations

from dataclasses import dataclass


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
        self._commits: dict[tuple[int, str | None], int] = {}

    def __len__(self) -> int:
        return len(self._commits)

    def commit_us(self, key: tuple[int, str | None]) -> int | None:
        """Return the session's latest commit, or None if the session is not in the table."""
        return self._commits.get(key)

    def record(self, key: tuple[int, str | None], commit_us: int) -> None:
        """Record a commit; a session's commit time never decreases."""
        self._commits[key] = max(commit_us, self._commits.pop(key, commit_us))

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
        return EvictedSession(oldest[0], self._commits.pop(oldest))

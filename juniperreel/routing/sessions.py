"""The last commits of sessions, for the reads of those sessions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvictedSession:
    """A session that is not remembered any more."""

    group: int
    commit_us: int


class SessionTable:
    """The last commit of each session, least recently written first; bounded in number and age."""

    def __init__(self, max_sessions: int, ttl_us: int) -> None:
        """Start empty."""
        self._max_sessions = max_sessions
        self._ttl_us = ttl_us
        self._commits: dict[tuple[int, str | None], int] = {}

    def __len__(self) -> int:
        return len(self._commits)

    def commit_us(self, key: tuple[int, str | None]) -> int | None:
        """The session's last commit, or None if it is not remembered."""
        return self._commits.get(key)

    def record(self, key: tuple[int, str | None], commit_us: int) -> None:
        """Remember a commit; a session's commits never go back."""
        self._commits[key] = max(commit_us, self._commits.pop(key, commit_us))

    def clear(self) -> None:
        """Forget all sessions."""
        self._commits.clear()

    def evict_one(self, now_us: int) -> EvictedSession | None:
        """Forget the oldest session if there are too many, or it is too old."""
        if not self._commits:
            return None
        oldest = next(iter(self._commits))
        if len(self._commits) <= self._max_sessions and self._commits[oldest] >= now_us - self._ttl_us:
            return None
        return EvictedSession(oldest[0], self._commits.pop(oldest))

"""Checks of Raft's safety properties (figure 3 of the Raft paper) on the observed steps of nodes.

The checker sees votes, logs, leaders and applied entries only, and is independent of the implementation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.verification.errors import SafetyViolationError

DIGEST_BYTES = 12
TERM_BYTES = 8


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of a node's log."""

    index: int  # from 1
    term: int
    data: bytes


class LogPrefix(NamedTuple):
    """The term of an entry and the digest of the log up to and including it."""

    term: int
    digest: bytes


class AppliedEntry(NamedTuple):
    """The entry that was applied at an index."""

    term: int
    data: bytes


def extend_digest(previous: bytes, term: int, data: bytes) -> bytes:
    """The digest of a log after one more entry was appended."""
    content = previous + term.to_bytes(TERM_BYTES, "big") + data
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


class RaftSafetyChecker:
    """Checks every step of a cluster as it happens.

    Each method raises SafetyViolationError if the step violates a safety property.
    """

    def __init__(self) -> None:
        self.committed = 0  # highest index applied by any node
        self._leaders: dict[int, str] = {}  # by term
        self._votes: dict[tuple[str, int], str] = {}  # by node and term
        self._digests: dict[tuple[int, int], bytes] = {(0, 0): b""}  # of the log up to an (index, term)
        self._logs: dict[str, dict[int, LogPrefix]] = {}  # by node, then by index
        self._applied: dict[int, AppliedEntry] = {}  # by index
        self._last_applied: dict[str, int] = {}  # by node
        self._states: dict[int, bytes] = {}  # digest of the state machine, by last applied index

    def record_vote(self, node: str, term: int, vote: str | None) -> None:
        """Check that a node never persists votes for two candidates in one term."""
        if vote is None:
            return
        earlier = self._votes.setdefault((node, term), vote)
        if earlier != vote:
            raise SafetyViolationError(f"{node} voted for {earlier} and {vote} in term {term}")

    def record_append(self, node: str, entries: Iterable[LogEntry]) -> None:
        """Check log matching: logs with the same index and term are identical up to that entry."""
        log = self._logs.setdefault(node, {0: LogPrefix(0, b"")})
        for entry in entries:
            previous = log.get(entry.index - 1)
            if previous is None:
                raise SafetyViolationError(f"{node} stored entry {entry.index} with a gap before it")
            digest = extend_digest(previous.digest, entry.term, entry.data)
            known = self._digests.setdefault((entry.index, entry.term), digest)
            if known != digest:
                raise SafetyViolationError(
                    f"log matching: entry {entry.index} of term {entry.term} differs on {node}"
                )
            self._check_not_replaced(node, log, entry)
            for later in [index for index in log if index > entry.index]:
                del log[later]
            log[entry.index] = LogPrefix(entry.term, digest)

    def _check_not_replaced(self, node: str, log: dict[int, LogPrefix], entry: LogEntry) -> None:
        if entry.index not in self._applied or entry.index > self._last_applied.get(node, 0):
            return
        stored = log.get(entry.index)
        if stored is not None and stored.term != entry.term:
            raise SafetyViolationError(f"{node} replaced entry {entry.index}, which it had applied")

    def record_snapshot(self, node: str, index: int, term: int) -> None:
        """Check that a snapshot, which replaces a node's log up to `index`, covers committed entries only."""
        digest = self._digests.get((index, term))
        if digest is None:
            raise SafetyViolationError(
                f"{node} took a snapshot at {index} of term {term}, which no node stored"
            )
        if index > self.committed:
            raise SafetyViolationError(f"{node} took a snapshot at {index}, beyond what is committed")
        log = self._logs.setdefault(node, {})
        stored = log.get(index)
        if stored is None or stored.term != term:
            log.clear()
        log[index] = LogPrefix(term, digest)
        self._last_applied[node] = max(self._last_applied.get(node, 0), index)

    def record_leader(self, node: str, term: int) -> None:
        """Check election safety: at most one leader in a term."""
        earlier = self._leaders.setdefault(term, node)
        if earlier != node:
            raise SafetyViolationError(f"election safety: {earlier} and {node} lead in term {term}")

    def check_leader_completeness(self, node: str, log: dict[int, int]) -> None:
        """Check that a node that was just elected holds all entries committed before.

        `log` maps index to term; its first index stands for the entries that a snapshot replaced.
        """
        first = min(log, default=0)
        for index, applied in self._applied.items():
            if index >= first and log.get(index) != applied.term:
                raise SafetyViolationError(
                    f"leader completeness: {node} was elected without committed entry {index}"
                )

    def record_apply(self, node: str, entry: LogEntry) -> None:
        """Check state machine safety: all nodes apply the same entry at an index, in order."""
        expected = self._last_applied.get(node, 0) + 1
        if entry.index != expected:
            raise SafetyViolationError(f"{node} applied {entry.index} where {expected} was next")
        self._last_applied[node] = entry.index
        applied = AppliedEntry(entry.term, entry.data)
        if self._applied.setdefault(entry.index, applied) != applied:
            raise SafetyViolationError(f"state machine safety: {node} applied another entry at {entry.index}")
        self.committed = max(self.committed, entry.index)

    def record_state(self, node: str, digest: bytes) -> None:
        """Check that the state after the last applied entry is the same on all nodes."""
        index = self._last_applied.get(node, 0)
        if self._states.setdefault(index, digest) != digest:
            raise SafetyViolationError(f"state machine safety: {node} has another state after {index}")

    def record_restart(self, node: str, applied: int) -> None:
        """Record that the node's state machine restarted from its snapshot at `applied`."""
        self._last_applied[node] = applied

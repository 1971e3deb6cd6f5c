"""Raft's safety properties (paper, figure 3), judged from what nodes stored, led and applied.

Knows nothing of how they came to do so. Entries are told as (index, term, data).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

Told = tuple[int, int, bytes]


class Unsafe(Exception):
    """A property is broken; the text says which, where."""


def chain(before: bytes, term: int, data: bytes) -> bytes:
    return hashlib.blake2b(before + term.to_bytes(8, "big") + data, digest_size=12).digest()


class RaftJudge:
    """Told of every step as it happens; raises Unsafe at the first that breaks a property."""

    def __init__(self) -> None:
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._known: dict[tuple[int, int], bytes] = {(0, 0): b""}  # (index, term): digest of the log up to it
        self._logs: dict[str, dict[int, tuple[int, bytes]]] = {}  # of each node: index to (term, digest)
        self._base: dict[str, int] = {}
        self._applied: dict[int, tuple[int, bytes]] = {}
        self._at: dict[str, int] = {}
        self._states: dict[int, bytes] = {}
        self.committed = 0

    def votes(self, node: str, term: int, vote: str | None) -> None:
        """Durable vote of a node in a term: never two of them."""
        if vote is not None:
            before = self._votes.setdefault((node, term), vote)
            if before != vote:
                raise Unsafe(f"{node} voted for {before} and {vote} in term {term}")

    def stores(self, node: str, entries: Iterable[Told]) -> None:
        """Log matching: entries of one index and term have the same log before them."""
        log = self._logs.setdefault(node, {0: (0, b"")})
        for index, term, data in entries:
            before = log.get(index - 1)
            if before is None:
                raise Unsafe(f"{node} stored entry {index} with a gap before it")
            digest = chain(before[1], term, data)
            known = self._known.setdefault((index, term), digest)
            if known != digest:
                raise Unsafe(f"log matching: entry {index} of term {term} differs on {node}")
            if (
                index in self._applied
                and index <= self._at.get(node, 0)
                and log.get(index, (term,))[0] != term
            ):
                raise Unsafe(f"{node} replaced entry {index}, which it had applied")
            for later in [i for i in log if i > index]:
                del log[later]
            log[index] = (term, digest)

    def restores(self, node: str, index: int, term: int) -> None:
        """A node took a snapshot in place of its log up to `index`."""
        digest = self._known.get((index, term))
        if digest is None:
            raise Unsafe(f"{node} took a snapshot at {index} of term {term}, which nobody stored")
        if index > self.committed:
            raise Unsafe(f"{node} took a snapshot at {index}, beyond what is committed")
        log = self._logs.setdefault(node, {})
        mine = log.get(index)
        if mine is None or mine[0] != term:
            log.clear()
        log[index] = (term, digest)
        self._base[node] = max(self._base.get(node, 0), index)
        self._at[node] = max(self._at.get(node, 0), index)

    def leads(self, node: str, term: int) -> None:
        """Election safety, and leader completeness: it holds all that was committed before."""
        before = self._leaders.setdefault(term, node)
        if before != node:
            raise Unsafe(f"election safety: {before} and {node} lead in term {term}")

    def complete(self, node: str, log: dict[int, int]) -> None:
        """`log`: index to term of a node that was just elected; its base stands in for the rest."""
        first = min(log, default=0)
        for index, (term, _) in self._applied.items():
            if index >= first and log.get(index) != term:
                raise Unsafe(f"leader completeness: {node} was elected without committed entry {index}")

    def applies(self, node: str, index: int, term: int, data: bytes) -> None:
        """State machine safety: one entry for an index, on all nodes, in order."""
        expected = self._at.get(node, 0) + 1
        if index != expected:
            raise Unsafe(f"{node} applied {index} where {expected} was next")
        self._at[node] = index
        before = self._applied.setdefault(index, (term, data))
        if before != (term, data):
            raise Unsafe(f"state machine safety: {node} applied another entry at {index}")
        self.committed = max(self.committed, index)

    def state(self, node: str, digest: bytes) -> None:
        """The node's state after what it applied last: the same on all nodes at one index."""
        at = self._at.get(node, 0)
        if self._states.setdefault(at, digest) != digest:
            raise Unsafe(f"state machine safety: {node} has another state after {at}")

    def restarts(self, node: str, applied: int) -> None:
        """The node's state machine starts again from its snapshot at `applied`."""
        self._at[node] = applied

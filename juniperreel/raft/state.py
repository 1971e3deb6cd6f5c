"""The state of one node that its parts share. A plain record: it decides nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.log import RaftLog
from juniperreel.raft.membership import MembershipHistory
from juniperreel.raft.messages import Message
from juniperreel.raft.types import Membership, RecoveredState, Role, Snapshot


@dataclass(slots=True)
class NodeState:
    """Term, vote, log and role of one node, and the messages that wait to be handed out.

    Attributes:
        name: The node's own name.
        config: Its limits and timing.
        term: The newest term that it knows of.
        vote: Whom it voted for in that term.
        log: The entries in memory.
        memberships: The memberships along the log.
        snapshot: The newest snapshot, taken here or installed.
        commit_index: The last entry known to be committed.
        applied_index: The last entry handed out to be applied.
        persisted_index: The last entry known to be on this node's disk.
        role: What the node is in its term.
        leader: The leader of its term, if known.
        outbox: Messages to be handed out with the next `Ready`.
    """

    name: str
    config: RaftConfig
    term: int
    vote: str | None
    log: RaftLog
    memberships: MembershipHistory
    snapshot: Snapshot
    commit_index: int
    applied_index: int
    persisted_index: int
    role: Role = Role.FOLLOWER
    leader: str | None = None
    outbox: list[Message] = field(default_factory=list)

    @classmethod
    def recover(cls, name: str, recovered: RecoveredState, config: RaftConfig) -> NodeState:
        """The state of a node that starts with what its storage held."""
        snapshot = recovered.snapshot
        if recovered.compacted_index is None:
            log = RaftLog(snapshot.index, snapshot.term, recovered.entries)
        else:
            log = RaftLog(recovered.compacted_index, recovered.compacted_term, recovered.entries)
        memberships = MembershipHistory(snapshot.index, snapshot.membership)
        for entry in log.entries:
            if entry.index > snapshot.index:
                memberships.append(entry)
        return cls(
            name=name,
            config=config,
            term=recovered.hard_state.term,
            vote=recovered.hard_state.vote,
            log=log,
            memberships=memberships,
            snapshot=snapshot,
            commit_index=max(snapshot.index, min(recovered.hard_state.commit, log.last_index)),
            applied_index=snapshot.index,
            persisted_index=log.last_index,
        )

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        return self.memberships.current

    @property
    def is_leader(self) -> bool:
        """Whether this node leads its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node counts for a quorum."""
        return self.name in self.membership.voters

    def send(self, message: Message) -> None:
        """Queue a message for the next `Ready`."""
        self.outbox.append(message)

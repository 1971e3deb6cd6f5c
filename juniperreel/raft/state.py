"""State shared by the components of a node. Holds data only; the components implement the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.log import RaftLog
from juniperreel.raft.membership import MembershipHistory
from juniperreel.raft.messages import Message
from juniperreel.raft.types import Membership, RecoveredState, Role, Snapshot


@dataclass(slots=True)
class NodeState:
    """Term, vote, log and role of one node, and its outgoing messages.

    Attributes:
        name: The node's own name.
        config: Limits and timing.
        term: The current term.
        vote: The candidate that it voted for in the current term, if any.
        log: The in-memory log.
        memberships: The membership at each index of the log.
        snapshot: The latest snapshot, taken locally or installed from the leader.
        commit_index: Index of the last entry known to be committed.
        applied_index: Index of the last entry handed out for application.
        persisted_index: Index of the last entry known to be durable on this node.
        role: The node's role in the current term.
        leader: The leader of the current term, if known.
        outbox: Messages to hand out with the next `Ready`.
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
        """The initial state of a node that starts from the contents of its storage."""
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
        """Whether this node is the leader of the current term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter of the membership in force."""
        return self.name in self.membership.voters

    def send(self, message: Message) -> None:
        """Queue a message for the next `Ready`."""
        self.outbox.append(message)

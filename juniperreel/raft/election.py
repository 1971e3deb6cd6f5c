"""Leader election: the election timer, granting votes and counting them."""

from __future__ import annotations

import random
from enum import Enum

from juniperreel.raft.messages import VoteReply, VoteRequest
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import Role


class VoteResult(Enum):
    """The state of an election."""

    PENDING = "pending"
    WON = "won"
    LOST = "lost"


class Election:
    """Starts elections, grants votes and counts them.

    Owns the election timer and the votes received. Each election timeout takes one draw from `rng`.

    Attributes:
        elapsed_ticks: Ticks since the last message from the leader; on a leader, since the last quorum check.
    """

    def __init__(self, state: NodeState, rng: random.Random) -> None:
        """Draws the first election timeout."""
        self._state = state
        self._rng = rng
        self._votes: dict[str, bool] = {}
        self._timeout_ticks = 0
        self.elapsed_ticks = 0
        self.reset_timer()

    def reset_timer(self) -> None:
        """Restart the timer with a new random timeout.

        Timeouts are randomized so that followers that lose the leader at the same time do not split the vote.
        """
        election_ticks = self._state.config.election_ticks
        self.elapsed_ticks = 0
        self._timeout_ticks = election_ticks + self._rng.randrange(election_ticks)

    @property
    def timed_out(self) -> bool:
        """Whether the election timeout has expired without a message from the leader."""
        return self.elapsed_ticks >= self._timeout_ticks

    def has_recent_leader(self) -> bool:
        """Whether a leader was heard from within the minimum election timeout (dissertation, 4.2.3)."""
        if self._state.is_leader:
            return True
        return self._state.leader is not None and self.elapsed_ticks < self._state.config.election_ticks

    def reset(self) -> None:
        """Discard the votes received and restart the timer, on becoming a follower."""
        self._votes = {}
        self.reset_timer()

    def start(self, pre_vote: bool, leadership_transfer: bool) -> VoteResult:
        """Start an election, or a pre-vote that tests whether one could be won.

        A pre-vote does not increment the term, so that a node can rejoin after a partition without deposing a
        working leader (dissertation, 9.6). Returns WON if this node's own vote is a quorum.
        """
        state = self._state
        state.leader = None
        self.reset_timer()
        if pre_vote:
            state.role = Role.PRE_CANDIDATE
            term = state.term + 1
        else:
            state.role = Role.CANDIDATE
            state.term += 1
            state.vote = state.name
            term = state.term
        self._votes = {state.name: True}
        result = self._result()
        if result is not VoteResult.WON:
            self._request_votes(term, pre_vote, leadership_transfer)
        return result

    def _request_votes(self, term: int, pre_vote: bool, leadership_transfer: bool) -> None:
        state = self._state
        for peer in sorted(state.membership.voters - {state.name}):
            request = VoteRequest(
                src=state.name,
                dst=peer,
                term=term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=pre_vote,
                leadership_transfer=leadership_transfer,
            )
            state.send(request)

    def _result(self) -> VoteResult:
        membership = self._state.membership
        granted = sum(1 for voter in membership.voters if self._votes.get(voter))
        if granted >= membership.quorum():
            return VoteResult.WON
        denied = sum(1 for voter in membership.voters if self._votes.get(voter) is False)
        if denied >= membership.quorum():
            return VoteResult.LOST
        return VoteResult.PENDING

    def on_vote_request(self, request: VoteRequest) -> None:
        """Reply to a vote request of the current term, or to a pre-vote for a later one."""
        state = self._state
        candidate_log = (request.last_term, request.last_index)
        up_to_date = candidate_log >= (state.log.last_term, state.log.last_index)
        granted = up_to_date and self._may_vote_for(request)
        if granted and not request.pre_vote:
            state.vote = request.src
            self.elapsed_ticks = 0
        term = request.term if granted else state.term
        state.send(VoteReply(state.name, request.src, term, granted, request.pre_vote))

    def _may_vote_for(self, request: VoteRequest) -> bool:
        if request.pre_vote:
            return request.term > self._state.term
        if self._state.vote is None:
            return self._state.leader is None
        return self._state.vote == request.src

    def on_vote_reply(self, reply: VoteReply) -> VoteResult:
        """Count a vote. Replies that belong to a different election are ignored and return PENDING."""
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        if self._state.role is not expected_role:
            return VoteResult.PENDING
        if reply.pre_vote and reply.granted and reply.term != self._state.term + 1:
            return VoteResult.PENDING
        self._votes.setdefault(reply.src, reply.granted)
        return self._result()

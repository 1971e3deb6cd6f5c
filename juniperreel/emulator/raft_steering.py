"""Steered operations of a schedule: orders of events that random operations rarely produce.

They take the same arguments as the operations in `juniperreel.emulator.raft_operations`.
"""

from __future__ import annotations

from collections.abc import Collection

from juniperreel.emulator.raft_group import SimulatedGroup, involves
from juniperreel.emulator.raft_operations import MAX_DELAYED
from juniperreel.raft.core import RaftCore
from juniperreel.raft.messages import AppendEntries, Message, SnapshotChunk, VoteReply, VoteRequest
from juniperreel.raft.types import Role

ELECTION_ROUNDS = 40  # maximum rounds of ticks and deliveries until a node is elected
ROUNDS = 6  # rounds of ticks and deliveries in the other operations


def is_vote(message: Message) -> bool:
    """Whether a message belongs to an election."""
    return isinstance(message, VoteRequest | VoteReply)


def is_vote_request(message: Message) -> bool:
    """Whether a message requests a vote, other than a pre-vote."""
    return isinstance(message, VoteRequest) and not message.pre_vote


def elect_other(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Elect a node other than the leader, and drop the entries that it sends as the new leader.

    The old leader may crash or be partitioned, and its last entries may arrive late. The new one then has an
    entry that no other node has.
    """
    leader = group.pick_leader()
    name = _pick_candidate(group, leader, pick, variant)
    if name is None:
        return
    if leader is not None and (variant >> 4) % 2:
        _delay_entries_from(group, leader)
    if leader is not None and variant % 2 and group.majority_survives_a_crash():
        group.stop(leader)
    elif leader is not None and variant % 3:  # it keeps running, and considers itself the leader
        group.isolate(leader)
    group.drop_matching(lambda message: not is_vote(message))
    _run_election(group, name, leader)
    core = group.nodes[name].core
    if core is None or not core.is_leader:
        return
    _drop_entries_from(group, name)
    group.propose(name)
    group.settle(name)
    if variant % 4 < 3:
        _drop_entries_from(group, name)


def _pick_candidate(group: SimulatedGroup, leader: str | None, pick: int, variant: int) -> str | None:
    stopped_nodes = group.stopped_nodes()
    others = [name for name in group.running_nodes() if name != leader]
    if stopped_nodes and variant % 8 >= 4:  # it may have been the leader, and has missed later entries
        name = stopped_nodes[pick % len(stopped_nodes)]
        group.restart(name)
        return name
    return others[pick % len(others)] if others else None


def _run_election(group: SimulatedGroup, name: str, leader: str | None) -> None:
    """Tick a node until it leads, and deliver only its messages of the election."""
    for _ in range(ELECTION_ROUNDS):
        core = group.nodes[name].core
        if core is None or core.is_leader:
            return
        group.tick(name)
        group.deliver_matching(
            lambda message: involves(message, name) and (leader is None or not involves(message, leader)),
            passes=is_vote,
        )


def _delay_entries_from(group: SimulatedGroup, leader: str) -> None:
    """Have a leader propose a command, and hold back the messages with entries that it has sent."""
    group.propose(leader)
    group.settle(leader)
    entries = [
        message
        for message in group.network
        if isinstance(message, AppendEntries) and message.src == leader and message.entries
    ]
    room = max(0, MAX_DELAYED - len(group.delayed))
    for message in entries[:room]:
        group.network.remove(message)
        group.delayed.append(message)


def _drop_entries_from(group: SimulatedGroup, name: str) -> None:
    group.drop_matching(lambda message: message.src == name and isinstance(message, AppendEntries))


def competing_candidates(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Have two nodes request votes in successive terms, while the replies to one of them are delayed."""
    voters = _crash_leader(group)
    if len(voters) < 2:
        return
    one = voters[pick % len(voters)]
    other = voters[(pick + 1 + variant % (len(voters) - 1)) % len(voters)]
    for _ in range(1 + variant % 2):
        if not _campaign(group, one, voters):
            return
        group.deliver_matching(is_vote_request)
        delayed_votes = [message for message in group.network if _is_vote_for(message, one)]
        group.network.clear()
        group.delayed.extend(delayed_votes)
    if not _campaign(group, one, voters):
        return
    group.network.clear()
    if _campaign(group, other, [name for name in voters if name != one]):
        for _ in range(ROUNDS):
            group.deliver_matching(lambda message: not involves(message, one))
    for message in [message for message in group.delayed if message.dst == one]:
        group.delayed.remove(message)
        group.deliver(message)


def _crash_leader(group: SimulatedGroup) -> list[str]:
    """Crash the leader and clear the network. Returns the running nodes, or none if too few would run."""
    leader = group.pick_leader()
    if leader is not None:
        if not group.majority_survives_a_crash():
            return []
        group.stop(leader)
    voters = group.running_nodes()
    if len(voters) < 2:
        return []
    group.network.clear()
    group.partitions.clear()
    if leader is not None and len(voters) < 3:  # the old leader is needed as a voter
        group.restart(leader)
        voters.append(leader)
    return voters


def _is_vote_for(message: Message, name: str) -> bool:
    return isinstance(message, VoteReply) and not message.pre_vote and message.dst == name


def _campaign(group: SimulatedGroup, name: str, voters: Collection[str]) -> bool:
    """Make a node a candidate with vote requests in flight. Returns whether that succeeded."""
    for _ in range(ELECTION_ROUNDS):
        core = group.nodes[name].core
        if core is None or core.is_leader:
            return False
        if core.role is Role.CANDIDATE and _has_requested_votes(group, core):
            return True
        group.tick(name)
        for message in [message for message in group.network if involves(message, name)]:
            group.network.remove(message)
            if is_vote_request(message):
                group.network.append(message)
            elif _is_pre_vote(message) and (message.src in voters or message.dst in voters):
                group.deliver(message)
    return False


def _has_requested_votes(group: SimulatedGroup, core: RaftCore) -> bool:
    return any(
        is_vote_request(message) and message.src == core.name and message.term == core.term
        for message in group.network
    )


def _is_pre_vote(message: Message) -> bool:
    return isinstance(message, VoteRequest | VoteReply) and message.pre_vote


def partial_replication(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Deliver a leader's entries to some followers only; then the leader may crash."""
    name = group.pick_leader(pick)
    if name is None:
        return
    if variant % 2:
        group.propose(name)
    followers = sorted(group.core(name).membership.all - {name})
    if not followers:
        return
    reached = {followers[pick % len(followers)]}
    if variant % 3 == 0:
        reached.add(followers[(pick >> 4) % len(followers)])
    for _ in range(ROUNDS):
        if group.nodes[name].core is None:
            return
        group.tick(name)
        group.deliver_matching(
            lambda message: involves(message, name),
            passes=lambda message: message.src in reached or message.dst in reached,
        )
    if variant % 4 < 2 and group.majority_survives_a_crash():
        group.stop(name)


def lagging_follower(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Make a follower need a snapshot, and replace the snapshot while it is being sent."""
    name = group.pick_leader()
    if name is None:
        return
    core = group.core(name)
    followers = sorted(core.membership.all - {name})
    if not followers:
        return
    follower = followers[pick % len(followers)]
    for turn in range(2 + variant % 2):
        group.drop_matching(
            lambda message: involves(message, follower) and not isinstance(message, SnapshotChunk)
        )
        if not _commit_without(group, name, follower, 3 + pick % 6):
            return
        group.compact(name)
        for _ in range(4 + (variant >> turn) % 8):
            core.tick()
            group.settle(name)
            _deliver_one_of(group, follower, variant)


def _commit_without(group: SimulatedGroup, leader: str, follower: str, count: int) -> bool:
    """Commit entries that a follower does not receive. Returns whether the leader still leads."""
    core = group.core(leader)
    for _ in range(count):
        group.propose(leader)
        group.settle(leader)
        group.deliver_matching(lambda message: not involves(message, follower))
        if group.nodes[leader].core is not core or not core.is_leader:
            return False
    return True


def _deliver_one_of(group: SimulatedGroup, follower: str, variant: int) -> None:
    """Deliver a message from or to a follower: in order or not, once or twice, or again much later."""
    messages = [message for message in group.network if involves(message, follower)]
    if not messages:
        return
    message = messages[variant % len(messages)] if variant % 5 == 0 else messages[0]
    if variant % 3:
        group.network.remove(message)
    if variant % 7 == 0:
        group.delayed.append(message)
    group.deliver(message)

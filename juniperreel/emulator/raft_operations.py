"""The random operations of a schedule: time, the network, crashes, requests.

Each takes the group and two numbers: `pick` selects a node or message, `variant` one of the operation's
forms. If there is nothing to select, the operation has no effect.
"""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.emulator.raft_group import CrashPoint, SimulatedGroup
from juniperreel.raft.errors import NotLeaderError, RequestRejectedError
from juniperreel.raft.messages import AppendEntries, SnapshotChunk, VoteReply
from juniperreel.raft.types import MembershipChange

MAX_DELAYED = 40
LEAST_VOTERS = 2  # removals leave at least this many voters

OperationFunction = Callable[[SimulatedGroup, int, int], None]


def deliver(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Deliver the oldest message, or sometimes any, since the network guarantees no order."""
    if group.network:
        position = 0 if variant % 4 else pick % len(group.network)
        group.deliver(group.network.pop(position))


def deliver_many(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Deliver many messages in order, so that the group makes progress between faults."""
    for _ in range(min(len(group.network), 5 + pick % 20)):
        group.deliver_oldest()


def tick(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Advance the time of one node by some ticks."""
    name = group.pick_running(pick)
    if name is None:
        return
    core = group.core(name)
    for _ in range(1 + variant % 3):
        core.tick()
    group.settle(name)


def drop(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Drop a message."""
    if group.network:
        group.network.pop(pick % len(group.network))


def duplicate(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Duplicate a message."""
    if group.network:
        message = group.network[pick % len(group.network)]
        group.network.insert(variant % (len(group.network) + 1), message)


def propose(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Propose a command to a leader."""
    name = group.pick_leader(pick)
    if name is not None and group.propose(name) and variant % 3:
        group.settle(name)


def crash_after_write(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Crash a node after it has written its batch and before it sends anything."""
    _crash(group, pick, variant, CrashPoint.AFTER_WRITE)


def crash_before_write(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Crash a node before it writes its batch."""
    _crash(group, pick, variant, CrashPoint.BEFORE_WRITE)


def _crash(group: SimulatedGroup, pick: int, variant: int, point: CrashPoint) -> None:
    name = group.pick_running(pick)
    if name is None or len(group.stopped_nodes()) > len(group.nodes) // 2:
        return
    if variant % 2:
        tick(group, pick, variant)
    group.settle(name, point)


def restart(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Restart a node that is down."""
    stopped_nodes = group.stopped_nodes()
    if stopped_nodes:
        group.restart(stopped_nodes[pick % len(stopped_nodes)])


def partition(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Partition one node from the others, in one direction or both, or the group into two halves."""
    names = sorted(group.nodes)
    one = names[pick % len(names)]
    if variant % 3 == 0:  # it can receive but not send
        group.partitions |= {(one, other) for other in names}
    elif variant % 3 == 1:
        group.isolate(one)
    else:
        half = set(names[: 1 + variant % len(names)])
        group.partitions |= {(src, dst) for src in names for dst in names if (src in half) != (dst in half)}


def heal(group: SimulatedGroup, _pick: int, _variant: int) -> None:
    """End all partitions."""
    group.partitions.clear()


def compact(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Take a snapshot on one node."""
    name = group.pick_running(pick)
    if name is not None:
        group.compact(name)


def change_membership(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Have a leader add, promote or remove a node."""
    name = group.pick_leader(pick)
    if name is None:
        return
    core = group.core(name)
    membership = core.membership
    try:
        if variant % 3 == 0 and group.can_add_node():
            group.add_learner(name)
        elif variant % 3 == 1 and membership.learners:
            learner = sorted(membership.learners)[pick % len(membership.learners)]
            core.change_membership(MembershipChange.PROMOTE, learner)
        elif len(membership.voters) > LEAST_VOTERS:
            member = sorted(membership.all)[variant % len(membership.all)]
            core.change_membership(MembershipChange.REMOVE, member)
    except (RequestRejectedError, NotLeaderError):
        return
    group.settle(name)


def transfer_leadership(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Have a leader transfer its leadership."""
    name = group.pick_leader(pick)
    if name is None:
        return
    core = group.core(name)
    voters = sorted(core.membership.voters)
    try:
        core.transfer_leadership(voters[variant % len(voters)])
    except (RequestRejectedError, NotLeaderError):
        return
    group.settle(name)


def read(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Begin a linearizable read at a leader."""
    name = group.pick_leader(pick)
    if name is not None:
        group.read(name)


def delay(group: SimulatedGroup, pick: int, _variant: int) -> None:
    """Hold back a vote reply, an append or a snapshot chunk for a late delivery."""
    candidates = [
        message for message in group.network if isinstance(message, VoteReply | AppendEntries | SnapshotChunk)
    ]
    if candidates and len(group.delayed) < MAX_DELAYED:
        message = candidates[pick % len(candidates)]
        group.network.remove(message)
        group.delayed.append(message)


def deliver_delayed(group: SimulatedGroup, pick: int, variant: int) -> None:
    """Deliver some of the delayed messages."""
    for _ in range(1 + variant % 3):
        if group.delayed:
            group.deliver(group.delayed.pop(pick % len(group.delayed)))

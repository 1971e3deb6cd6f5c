"""Seeded schedules of faults and requests against a group of Raft cores, checked at every step.

A schedule is a list of operations, each a kind and two numbers that select among the nodes and messages of
the moment. So any subsequence of a schedule is valid, and a failing one can be shrunk. Runs are deterministic
for a seed.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from juniperreel.emulator import raft_operations as operations
from juniperreel.emulator import raft_steering as steering
from juniperreel.emulator.raft_group import CoreFactory, SimulatedGroup
from juniperreel.emulator.raft_operations import OperationFunction
from juniperreel.raft.core import RaftCore
from juniperreel.verification.errors import SafetyViolationError

DEFAULT_LENGTH = 400
PICK_BITS = 16
ALWAYS_PRESENT = ("deliver", "tick", "propose")
KIND_PROBABILITY = 0.7  # that a schedule includes a given other kind
STEERED_PROBABILITY = 0.3  # that a schedule prefers the steered kinds
STEERED_FACTOR = 8  # by which preferred kinds are more frequent, and the others less
CATCH_UP_TICKS = 100  # after all faults have ended; 3 s of the default tick, the bound for every change
RECOVERY_TICKS = 20  # after that, within which new entries must be committed
DELIVERIES_PER_TICK = 2000  # maximum while the group recovers
RECOVERY_COMMITS = 2  # entries; the recovery must commit more than these
CATCH_UP = "catch-up: without a new proposal, a member did not reach the leader's last entry and commit index"
LIVENESS = "liveness: nothing was committed after all faults had ended"


class OperationKind(NamedTuple):
    """An operation's function and its relative frequency."""

    function: OperationFunction
    weight: int
    steered: bool = False


# A change of the order or of a weight changes the schedules of all seeds.
KINDS = {
    "deliver": OperationKind(operations.deliver, 60),
    "tick": OperationKind(operations.tick, 30),
    "propose": OperationKind(operations.propose, 10),
    "drop": OperationKind(operations.drop, 4),
    "duplicate": OperationKind(operations.duplicate, 3),
    "crash-after-write": OperationKind(operations.crash_after_write, 2),
    "crash-before-write": OperationKind(operations.crash_before_write, 1),
    "restart": OperationKind(operations.restart, 5, steered=True),
    "partition": OperationKind(operations.partition, 2),
    "heal": OperationKind(operations.heal, 3),
    "compact": OperationKind(operations.compact, 3),
    "change-membership": OperationKind(operations.change_membership, 3),
    "transfer-leadership": OperationKind(operations.transfer_leadership, 1),
    "read": OperationKind(operations.read, 4, steered=True),
    "deliver-many": OperationKind(operations.deliver_many, 8),
    "elect-other": OperationKind(steering.elect_other, 3, steered=True),
    "competing-candidates": OperationKind(steering.competing_candidates, 1, steered=True),
    "partial-replication": OperationKind(steering.partial_replication, 3, steered=True),
    "lagging-follower": OperationKind(steering.lagging_follower, 2, steered=True),
    "delay": OperationKind(operations.delay, 3),
    "deliver-delayed": OperationKind(operations.deliver_delayed, 3),
}


class Operation(NamedTuple):
    """One step of a schedule; the numbers select among the nodes and messages of the moment."""

    kind: str
    pick: int
    variant: int


@dataclass(frozen=True, slots=True)
class Failure:
    """A schedule that violates a property.

    Attributes:
        seed: Of the group.
        violation: The property, and how it was violated.
        operations: The schedule, shrunk if that was requested.
    """

    seed: int
    violation: str
    operations: tuple[Operation, ...]

    @property
    def broken_property(self) -> str:
        """The name of the violated property."""
        return self.violation.partition(":")[0]


def make_schedule(seed: int, length: int) -> list[Operation]:
    """Draw the schedule of a seed. Each omits some kinds, so that the others occur closer together."""
    rng = random.Random(seed)
    weights = {
        name: kind.weight
        for name, kind in KINDS.items()
        if name in ALWAYS_PRESENT or rng.random() < KIND_PROBABILITY
    }
    if rng.random() < STEERED_PROBABILITY:
        for name, weight in weights.items():
            preferred = KINDS[name].steered
            weights[name] = STEERED_FACTOR * weight if preferred else max(1, weight // STEERED_FACTOR)
    drawn = rng.choices(list(weights), list(weights.values()), k=length)
    return [Operation(kind, rng.getrandbits(PICK_BITS), rng.getrandbits(PICK_BITS)) for kind in drawn]


def play(group: SimulatedGroup, schedule: Sequence[Operation]) -> None:
    """Run a schedule.

    Raises SafetyViolationError, or AssertionError if the core itself detects a violation.
    """
    for kind, pick, variant in schedule:
        KINDS[kind].function(group, pick, variant)


def end_faults(group: SimulatedGroup) -> None:
    """End all partitions, drop the delayed messages and restart the nodes that are down."""
    group.partitions.clear()
    group.delayed.clear()
    for name in group.stopped_nodes():
        group.restart(name)


def catches_up(group: SimulatedGroup) -> bool:
    """Return whether, without any proposal, all members reach the leader's log within CATCH_UP_TICKS.

    A commit of new entries would hide that an earlier message was lost and never sent again.
    """
    for _ in range(CATCH_UP_TICKS):
        if is_caught_up(group):
            return True
        _advance(group)
    return is_caught_up(group)


def is_caught_up(group: SimulatedGroup) -> bool:
    """Whether every member has the last entry of the latest leader, and all know that it is committed."""
    leaders = [node.core for node in group.nodes.values() if node.core is not None and node.core.is_leader]
    if not leaders:
        return False
    leader = max(leaders, key=lambda core: core.term)
    last_index = leader.log.last_index
    members = [group.core(name) for name in leader.membership.all]
    return all(core.log.last_index == core.commit_index == last_index for core in members)


def recovers(group: SimulatedGroup) -> bool:
    """Return whether new entries are committed within RECOVERY_TICKS."""
    committed_before = group.checker.committed
    for _ in range(RECOVERY_TICKS):
        _advance(group)
        committed = group.checker.committed - committed_before
        if group.pick_leader() is not None and committed > RECOVERY_COMMITS:
            return True
        operations.propose(group, 0, 1)
    return False


def _advance(group: SimulatedGroup) -> None:
    """Advance the time of all nodes by one tick and deliver all messages."""
    for name in sorted(group.nodes):
        group.tick(name)
    for _ in range(DELIVERIES_PER_TICK):
        if not group.network:
            return
        group.deliver_oldest()


def find_violation(
    seed: int, schedule: Sequence[Operation], core_factory: CoreFactory = RaftCore
) -> str | None:
    """Return which property a schedule violates and how, or None."""
    group = SimulatedGroup(seed, core_factory)
    try:
        play(group, schedule)
        end_faults(group)
        caught_up = catches_up(group)
        recovered = recovers(group)
    except (SafetyViolationError, AssertionError) as error:
        return str(error) or type(error).__name__
    except Exception as error:  # any other exception in the core is a failure, too
        place = traceback.extract_tb(error.__traceback__)[-1]
        return f"crash: {type(error).__name__}: {error} in {place.name}:{place.lineno}"
    if not recovered:
        return LIVENESS
    return None if caught_up else CATCH_UP


def run(
    seed: int,
    length: int = DEFAULT_LENGTH,
    core_factory: CoreFactory = RaftCore,
    *,
    shrinking: bool = True,
) -> Failure | None:
    """Run a seed's schedule. Returns the failure, shrunk if `shrinking`, or None."""
    schedule = make_schedule(seed, length)
    violation = find_violation(seed, schedule, core_factory)
    if violation is None:
        return None
    failure = Failure(seed, violation, tuple(schedule))
    return shrink(failure, core_factory) if shrinking else failure


def shrink(failure: Failure, core_factory: CoreFactory = RaftCore) -> Failure:
    """Remove ever smaller parts of the schedule as long as it still violates the same property."""
    size = len(failure.operations) // 2
    while size:
        start = 0
        while start < len(failure.operations):
            shorter = failure.operations[:start] + failure.operations[start + size :]
            violation = find_violation(failure.seed, shorter, core_factory)
            candidate = replace(failure, violation=violation or "", operations=shorter)
            if candidate.broken_property == failure.broken_property:
                failure = candidate
            else:
                start += size
        size //= 2
    return failure

"""The steered operations of schedules: whether they produce the order of events that they are named after."""

from __future__ import annotations

import pytest

from juniperreel.emulator.raft_group import SimulatedGroup
from juniperreel.emulator.raft_steering import lagging_follower, partial_replication

MAX_TICKS = 100


def group_of_five() -> tuple[SimulatedGroup, str]:
    """A group of five with a leader, other than the first node, that all others follow."""
    for seed in range(100):
        group = SimulatedGroup(seed)
        for _ in range(MAX_TICKS):
            for name in group.nodes:
                group.tick(name)
            while group.network:
                group.deliver_oldest()
        leader = group.pick_leader()
        if leader is not None and leader != min(group.nodes) and len(group.nodes) == 5:
            return group, leader
    pytest.fail("no seed has such a group")


@pytest.mark.parametrize("variant", range(12))
def test_partial_replication_reaches_one_or_two_followers_only(variant: int) -> None:
    group, leader = group_of_five()
    group.propose(leader)
    last_index = group.core(leader).log.last_index
    partial_replication(group, pick=0b10000, variant=variant)
    reached = [
        name
        for name in group.nodes
        if name != leader and group.core(name).log.term_at(last_index) is not None
    ]
    assert len(reached) == (2 if variant % 3 == 0 else 1)


def test_lagging_follower_compacts_the_leader_s_log_while_another_node_is_down() -> None:
    group, leader = group_of_five()
    group.stop(min(group.nodes))
    lagging_follower(group, pick=1, variant=1)
    compacted = [name for name in group.running_nodes() if group.core(name).snapshot.index > 0]
    assert compacted == [leader]

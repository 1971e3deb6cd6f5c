"""The core, driven step by step with messages and ticks, and by seeded schedules of faults."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from juniperreel.emulator.raft import Failure, find_violation, make_schedule, play, run, shrink
from juniperreel.emulator.raft_group import SimulatedGroup
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.core import RaftCore
from juniperreel.raft.errors import NotLeaderError, RequestRejectedError
from juniperreel.raft.memory_storage import InMemoryStorage
from juniperreel.raft.messages import AppendEntries, Message, SnapshotChunk, VoteRequest
from juniperreel.raft.ready import Ready
from juniperreel.raft.types import Entry, EntryKind, Membership, MembershipChange, Role
from tests.raft import mutations

CONFIG = RaftConfig(election_ticks=10, heartbeat_ticks=2, snapshot_chunk_bytes=8, trailing_entries=0)


class ScriptedGroup:
    """A group of nodes with in-memory disks and a network whose faults the test controls."""

    def __init__(self, *names: str, config: RaftConfig = CONFIG) -> None:
        self.config = config
        self.members = Membership(frozenset(names))
        self.disks = {n: InMemoryStorage(self.members) for n in names}
        self.cores: dict[str, RaftCore] = {}
        self.network: list[Message] = []
        self.applied: dict[str, list[bytes]] = {n: [] for n in names}
        self.reads: list[tuple[str, int, int]] = []
        self.partitioned: set[str] = set()
        for n in names:
            self.restart(n)

    def restart(self, name: str, disk: InMemoryStorage | None = None) -> RaftCore:
        self.disks[name] = disk or self.disks.get(name) or InMemoryStorage(Membership(frozenset()))
        self.cores[name] = RaftCore(name, self.disks[name].recover(), self.config, random.Random(name))
        self.applied[name] = [s for s in self.disks[name].snapshot.data.split(b"\0") if s]
        return self.cores[name]

    def process_ready(self, name: str) -> Ready | None:
        core, ready = self.cores[name], None
        while core.has_ready():
            ready = core.take_ready()
            self.disks[name].write(ready.persist)
            core.mark_persisted(ready)
            self.network.extend(ready.messages)
            if ready.installed_snapshot is not None:
                self.applied[name] = [s for s in ready.installed_snapshot.data.split(b"\0") if s]
            self.applied[name] += [e.data for e in ready.committed_entries if e.data and e.kind.value == 0]
            self.reads += [(name, read.context, read.index) for read in ready.read_states]
        return ready

    def deliver_messages(self, drop: Callable[[Message], bool] = lambda _message: False) -> None:
        for name in self.cores:
            self.process_ready(name)
        for _ in range(10_000):
            if not self.network:
                return
            m = self.network.pop(0)
            if m.dst in self.cores and not {m.src, m.dst} & self.partitioned and not drop(m):
                self.cores[m.dst].step(m)
                self.process_ready(m.dst)

    def elect(self, name: str) -> RaftCore:
        core = self.cores[name]
        for other, other_core in self.cores.items():
            # Without a recent leader, they grant votes.
            if other != name and other not in self.partitioned:
                other_core._election.elapsed_ticks = self.config.election_ticks
        for _ in range(2 * self.config.election_ticks):
            if core.role is Role.FOLLOWER:
                core.tick()
        self.deliver_messages()
        assert core.is_leader
        return core

    def run_ticks(self, count: int, *names: str) -> None:
        for _ in range(count):
            for name in names or tuple(self.cores):
                self.cores[name].tick()
                self.deliver_messages()

    def propose(self, name: str, *commands: bytes) -> None:
        for c in commands:
            self.cores[name].propose(c)
        self.deliver_messages()


def test_command_proposed_to_a_leader_is_applied_on_all_nodes() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.propose("a", b"x", b"y")
    group.run_ticks(3, "a")
    assert all(applied == [b"x", b"y"] for applied in group.applied.values())


def test_entries_taken_together_with_a_snapshot_below_them_are_all_persisted() -> None:
    """Guards against acknowledged entries that are not persisted and so lost in the next restart."""
    group = ScriptedGroup("a", "b", "c")
    core = group.cores["b"]
    entries = tuple(Entry(1, index, EntryKind.COMMAND, b"%d" % index) for index in range(1, 9))
    core.step(AppendEntries("a", "b", 1, 0, 0, entries, 0))
    core.step(SnapshotChunk("a", "b", 1, 3, 1, group.members, 0, b"1\x002\x003", last=True))
    group.process_ready("b")
    assert any(getattr(reply, "index", 0) == 8 for reply in group.network)  # acknowledged
    restored = group.restart("b")
    assert [entry.index for entry in restored.log.entries] == [4, 5, 6, 7, 8]


def test_vote_is_persisted_before_its_reply_is_sent() -> None:
    """A vote reply must be in the same Ready as the hard state that it depends on."""
    group = ScriptedGroup("a", "b", "c")
    core = group.cores["b"]
    core.step(VoteRequest("a", "b", 1, 0, 0))
    ready = core.take_ready()
    assert ready.persist.hard_state is not None
    assert ready.persist.hard_state.vote == "a"
    core.mark_persisted(ready)
    core.step(VoteRequest("c", "b", 1, 9, 9))
    (reply,) = core.take_ready().messages
    assert not reply.granted  # type: ignore[union-attr]


def test_entries_of_a_partitioned_minority_are_overwritten() -> None:
    group = ScriptedGroup("a", "b", "c", "d", "e")
    group.elect("a")
    group.propose("a", b"kept")
    group.partitioned = {"a", "b"}
    lost = [group.cores["a"].propose(b"lost") for _ in range(3)]
    group.deliver_messages()
    group.elect("c")
    group.propose("c", b"new")
    group.partitioned = set()
    group.run_ticks(30)
    assert all(applied == [b"kept", b"new"] for applied in group.applied.values())
    for position in lost:  # their proposers can tell that they were superseded
        assert group.cores["a"].log.term_at(position.index) != position.term


def test_leader_without_a_quorum_steps_down() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"a"}
    group.run_ticks(25, "a")
    assert not group.cores["a"].is_leader
    with pytest.raises(NotLeaderError):
        group.cores["a"].propose(b"x")


def test_entry_stored_by_a_majority_survives_its_leader() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.cores["a"].propose(b"x")
    group.process_ready("a")
    for m in [m for m in group.network if m.dst == "b"]:  # only b receives it, and a never learns that
        group.cores["b"].step(m)
    group.process_ready("b")
    group.network.clear()
    group.partitioned = {"a"}
    group.elect("b")
    assert group.applied["b"] == [b"x"]
    group.run_ticks(5, "b")
    assert group.applied["c"] == [b"x"]


def test_entry_of_an_earlier_term_on_a_majority_is_not_committed_by_counting() -> None:
    group = ScriptedGroup("a", "b", "c", "d", "e")
    group.elect("a")
    group.cores["a"].propose(b"old")
    group.process_ready("a")
    for m in [m for m in group.network if m.dst == "b"]:
        group.cores["b"].step(m)
    group.process_ready("b")
    group.network.clear()
    group.restart("a")
    leader = group.elect("b")  # holds the entry of term 1
    assert leader.term > 1
    fresh = ScriptedGroup("a", "b", "c")
    core = fresh.elect("a")
    before = core.commit_index
    core.state.term += 1  # as if re-elected without an entry of the new term
    for progress in core._replication._progress.values():
        progress.match_index = core.log.last_index
    core.state.commit_index = before - 1
    core._advance_commit()
    assert core.commit_index == before - 1


def test_read_at_a_deposed_leader_is_not_answered() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"a"}
    group.cores["a"].read_index(7)
    group.elect("b")
    group.propose("b", b"new")
    group.run_ticks(25, "a")
    assert group.reads == []
    group.partitioned = set()
    group.run_ticks(5, "b")
    group.cores["b"].read_index(8)
    group.deliver_messages()
    (read,) = group.reads
    assert read[:2] == ("b", 8)
    assert group.cores["b"].log.slice(read[2], read[2])[0].data in (b"new", b"")


def test_read_pending_when_the_leadership_ends_is_reported_lost() -> None:
    group = ScriptedGroup("a", "b", "c")
    core = group.elect("a")
    group.partitioned = {"a"}
    core.read_index(7)
    for _ in range(25):
        core.tick()
    lost: list[int] = []
    while core.has_ready():
        ready = core.take_ready()
        core.mark_persisted(ready)
        lost += ready.lost_reads
    assert lost == [7]


def test_removed_node_that_never_learns_of_it_starts_no_election() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.cores["a"].change_membership(MembershipChange.REMOVE, "c")
    group.deliver_messages(drop=lambda m: m.dst == "c")  # it never learns of its removal
    term = group.cores["a"].term
    for _ in range(60):
        group.cores["c"].tick()
        group.cores["a"].tick()
        group.deliver_messages()
    assert group.cores["a"].is_leader
    assert group.cores["a"].term == term


def test_node_after_a_partition_rejoins_without_an_election() -> None:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"c"}
    group.run_ticks(60)
    term = group.cores["a"].term
    group.partitioned = set()
    group.run_ticks(30)
    assert group.cores["a"].is_leader
    assert group.cores["a"].term == term


def test_membership_change_before_a_commit_of_the_term_or_another_change_is_rejected() -> None:
    group = ScriptedGroup("a", "b", "c")
    core = group.cores["a"]
    for _ in range(20):
        core.tick()
    group.deliver_messages(drop=lambda m: isinstance(m, AppendEntries))
    assert core.is_leader
    with pytest.raises(RequestRejectedError, match="nothing in its term"):
        core.change_membership(MembershipChange.ADD_LEARNER, "d")
    group.run_ticks(4, "a")
    core.change_membership(MembershipChange.ADD_LEARNER, "d")
    with pytest.raises(RequestRejectedError, match="under way"):
        core.change_membership(MembershipChange.ADD_LEARNER, "e")
    group.deliver_messages()
    group.restart("d")
    group.run_ticks(6, "a")
    core.change_membership(MembershipChange.PROMOTE, "d")
    group.deliver_messages()
    assert core.membership.voters == frozenset("abcd")
    core.change_membership(MembershipChange.REMOVE, "d")
    group.deliver_messages()
    with pytest.raises(RequestRejectedError, match="new one"):
        core.change_membership(MembershipChange.ADD_LEARNER, "d")


def test_promotion_of_a_lagging_learner_is_rejected() -> None:
    group = ScriptedGroup("a", "b", "c", config=RaftConfig(max_promotion_lag=2))
    core = group.elect("a")
    core.change_membership(MembershipChange.ADD_LEARNER, "d")
    group.propose("a", *(b"%d" % n for n in range(9)))
    with pytest.raises(RequestRejectedError, match="lacks"):
        core.change_membership(MembershipChange.PROMOTE, "d")


def test_leader_that_removes_itself_steps_down_after_the_commit() -> None:
    group = ScriptedGroup("a", "b", "c")
    core = group.elect("a")
    core.change_membership(MembershipChange.REMOVE, "a")
    group.deliver_messages()
    assert not core.is_leader
    group.elect("b")
    group.propose("b", b"x")
    assert group.applied["b"] == [b"x"]


def test_leadership_transfer_to_a_current_follower_elects_it() -> None:
    group = ScriptedGroup("a", "b", "c")
    core = group.elect("a")
    group.propose("a", b"x")
    core.transfer_leadership("b")
    with pytest.raises(RequestRejectedError, match="handed over"):
        core.propose(b"y")
    group.deliver_messages()
    assert group.cores["b"].is_leader
    assert not core.is_leader


def group_with_a_lagging_node() -> ScriptedGroup:
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.partitioned = {"c"}
    group.propose("a", *(b"command%d" % n for n in range(20)))
    core = group.cores["a"]
    core.compact(core.applied_index, b"\0".join(group.applied["a"]))
    group.deliver_messages()
    assert core.log.first_index > 10
    group.partitioned = set()
    return group


def test_node_that_lacks_compacted_entries_catches_up_by_a_snapshot() -> None:
    group = group_with_a_lagging_node()
    for n in range(10):
        group.cores["a"].propose(b"more%d" % n)
        group.run_ticks(1, "a")
    group.run_ticks(10, "a")
    assert group.applied["c"] == group.applied["a"]
    assert len(group.applied["c"]) == 30
    group.restart("c")  # recovers from its disk
    group.run_ticks(5, "a")
    assert group.applied["c"] == group.applied["a"]


def test_snapshot_transfer_after_lost_chunks_and_a_restart_completes() -> None:
    group = group_with_a_lagging_node()
    seen: list[int] = []

    def drop_some_chunks(m: Message) -> bool:
        if isinstance(m, SnapshotChunk):
            seen.append(m.offset)
            if len(seen) == 4:
                group.restart("c")  # loses the partially received snapshot
        return isinstance(m, SnapshotChunk) and len(seen) % 3 == 0

    for _ in range(80):
        group.cores["a"].tick()
        group.deliver_messages(drop=drop_some_chunks)
    assert group.applied["c"] == group.applied["a"]
    assert seen.count(0) >= 2


def test_node_with_an_empty_disk_never_stands_for_election() -> None:
    """Without a membership, a node is in no quorum and must not start an election."""
    group = ScriptedGroup("a", "b", "c")
    group.elect("a")
    group.propose("a", b"x")
    empty_node = group.restart("c", InMemoryStorage(Membership(frozenset())))
    for _ in range(100):
        empty_node.tick()
    assert empty_node.role is Role.FOLLOWER
    assert not empty_node.has_ready()


def test_single_voter_commits_alone_and_cannot_be_removed() -> None:
    group = ScriptedGroup("a")
    group.elect("a")
    group.propose("a", b"x")
    assert group.applied["a"] == [b"x"]
    with pytest.raises(RequestRejectedError):
        group.cores["a"].change_membership(MembershipChange.REMOVE, "a")


def test_proposal_beyond_the_uncommitted_limit_is_rejected() -> None:
    group = ScriptedGroup("a", "b", "c", config=RaftConfig(max_uncommitted_bytes=100))
    core = group.elect("a")
    core.propose(b"x" * 90)
    with pytest.raises(RequestRejectedError, match="waits"):
        core.propose(b"x" * 90)


# Schedules.


def test_three_hundred_schedules_break_no_property() -> None:
    for seed in range(300):
        failure = run(seed)
        assert failure is None, failure


def test_schedule_run_twice_gives_the_same_states() -> None:
    def digest(seed: int) -> tuple[object, ...]:
        group = SimulatedGroup(seed)
        play(group, make_schedule(seed, 400))
        return (
            group.checker.committed,
            sorted((n, tuple(x.commands)) for n, x in group.nodes.items()),
            [type(m).__name__ for m in group.network],
        )

    assert [digest(seed) for seed in range(20)] == [digest(seed) for seed in range(20)]


@pytest.mark.parametrize("make", mutations.MUTATIONS, ids=lambda m: m.__name__)
def test_schedules_with_an_injected_bug_find_it(make: type[RaftCore]) -> None:
    limit = mutations.SEED_COUNTS.get(make.__name__, 60)
    assert any(run(seed, core_factory=make, shrinking=False) for seed in range(limit))


def test_failing_schedule_when_shrunk_still_fails() -> None:
    failure = next(
        f for f in (run(s, core_factory=mutations.VotesForStaleLogs, shrinking=False) for s in range(60)) if f
    )
    small = shrink(failure, mutations.VotesForStaleLogs)
    assert isinstance(small, Failure)
    assert len(small.operations) < len(failure.operations) // 2
    assert find_violation(small.seed, small.operations, mutations.VotesForStaleLogs) == small.violation
    assert find_violation(small.seed, small.operations) is None

"""Stories of the core, told by messages and ticks, and the schedules that judge it as a whole."""

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
from juniperreel.raft.types import Membership, MembershipChange, Role
from tests.raft import mutations

CONFIG = RaftConfig(election_ticks=10, heartbeat_ticks=2, snapshot_chunk_bytes=8, trailing_entries=0)


class Story:
    """Some nodes with disks, and a wire on which the test decides."""

    def __init__(self, *names: str, config: RaftConfig = CONFIG) -> None:
        self.config = config
        self.members = Membership(frozenset(names))
        self.disks = {n: InMemoryStorage(self.members) for n in names}
        self.cores: dict[str, RaftCore] = {}
        self.wire: list[Message] = []
        self.applied: dict[str, list[bytes]] = {n: [] for n in names}
        self.reads: list[tuple[str, int, int]] = []
        self.cut: set[str] = set()
        for n in names:
            self.boot(n)

    def boot(self, name: str, disk: InMemoryStorage | None = None) -> RaftCore:
        self.disks[name] = disk or self.disks.get(name) or InMemoryStorage(Membership(frozenset()))
        self.cores[name] = RaftCore(name, self.disks[name].recover(), self.config, random.Random(name))
        self.applied[name] = [s for s in self.disks[name].snapshot.data.split(b"\0") if s]
        return self.cores[name]

    def settle(self, name: str) -> Ready | None:
        core, ready = self.cores[name], None
        while core.has_ready():
            ready = core.take_ready()
            self.disks[name].write(ready.persist)
            core.mark_persisted(ready)
            self.wire.extend(ready.messages)
            if ready.installed_snapshot is not None:
                self.applied[name] = [s for s in ready.installed_snapshot.data.split(b"\0") if s]
            self.applied[name] += [e.data for e in ready.committed_entries if e.data and e.kind.value == 0]
            self.reads += [(name, read.context, read.index) for read in ready.read_states]
        return ready

    def pump(self, drop: Callable[[Message], bool] = lambda m: False) -> None:
        for name in self.cores:
            self.settle(name)
        for _ in range(10_000):
            if not self.wire:
                return
            m = self.wire.pop(0)
            if m.dst in self.cores and not {m.src, m.dst} & self.cut and not drop(m):
                self.cores[m.dst].step(m)
                self.settle(m.dst)

    def elect(self, name: str) -> RaftCore:
        core = self.cores[name]
        for other, its in self.cores.items():
            if other != name and other not in self.cut:  # these have heard of no leader for long
                its._election.elapsed_ticks = self.config.election_ticks
        for _ in range(2 * self.config.election_ticks):
            if core.role is Role.FOLLOWER:
                core.tick()
        self.pump()
        assert core.is_leader
        return core

    def ticks(self, count: int, *names: str) -> None:
        for _ in range(count):
            for name in names or tuple(self.cores):
                self.cores[name].tick()
                self.pump()

    def propose(self, name: str, *commands: bytes) -> None:
        for c in commands:
            self.cores[name].propose(c)
        self.pump()


def test_a_command_reaches_all() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.propose("a", b"x", b"y")
    s.ticks(3, "a")
    assert all(applied == [b"x", b"y"] for applied in s.applied.values())


def test_nothing_leaves_before_it_is_persisted() -> None:
    """What a Ready sends is only handed out together with what it depends on."""
    s = Story("a", "b", "c")
    core = s.cores["b"]
    core.step(VoteRequest("a", "b", 1, 0, 0))
    ready = core.take_ready()
    assert ready.persist.hard_state is not None and ready.persist.hard_state.vote == "a"
    core.mark_persisted(ready)
    core.step(VoteRequest("c", "b", 1, 9, 9))
    (reply,) = core.take_ready().messages
    assert not reply.granted  # type: ignore[union-attr]


def test_a_minority_s_entries_are_overwritten() -> None:
    s = Story("a", "b", "c", "d", "e")
    s.elect("a")
    s.propose("a", b"kept")
    s.cut = {"a", "b"}
    lost = [s.cores["a"].propose(b"lost") for _ in range(3)]
    s.pump()
    s.elect("c")
    s.propose("c", b"new")
    s.cut = set()
    s.ticks(30)
    assert all(applied == [b"kept", b"new"] for applied in s.applied.values())
    for position in lost:  # whoever proposed them can tell that the outcome was another's
        assert s.cores["a"].log.term_at(position.index) != position.term


def test_a_leader_without_a_quorum_steps_down() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cut = {"a"}
    s.ticks(25, "a")
    assert not s.cores["a"].is_leader
    with pytest.raises(NotLeaderError):
        s.cores["a"].propose(b"x")


def test_a_leader_that_dies_after_a_majority_stored_loses_nothing() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cores["a"].propose(b"x")
    s.settle("a")
    for m in [m for m in s.wire if m.dst == "b"]:  # only b hears of it, and a never learns that
        s.cores["b"].step(m)
    s.settle("b")
    s.wire.clear()
    s.cut = {"a"}
    s.elect("b")
    assert s.applied["b"] == [b"x"]
    s.ticks(5, "b")
    assert s.applied["c"] == [b"x"]


def test_figure_8_an_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    s = Story("a", "b", "c", "d", "e")
    s.elect("a")
    s.cores["a"].propose(b"old")
    s.settle("a")
    for m in [m for m in s.wire if m.dst == "b"]:
        s.cores["b"].step(m)
    s.settle("b")
    s.wire.clear()
    s.boot("a")
    leader = s.elect("b")  # holds the entry of term 1
    assert leader.term > 1
    fresh = Story("a", "b", "c")
    core = fresh.elect("a")
    before = core.commit_index
    core.state.term += 1  # as if elected again, with nothing of the new term in its log
    for progress in core._replication._progress.values():
        progress.match_index = core.log.last_index
    core.state.commit_index = before - 1
    core._advance_commit()
    assert core.commit_index == before - 1


def test_a_deposed_leader_answers_no_reads() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cut = {"a"}
    s.cores["a"].read_index(7)
    s.elect("b")
    s.propose("b", b"new")
    s.ticks(25, "a")
    assert s.reads == []
    s.cut = set()
    s.ticks(5, "b")
    s.cores["b"].read_index(8)
    s.pump()
    (read,) = s.reads
    assert read[:2] == ("b", 8) and s.cores["b"].log.slice(read[2], read[2])[0].data in (b"new", b"")


def test_reads_lost_with_the_leadership_are_told() -> None:
    s = Story("a", "b", "c")
    core = s.elect("a")
    s.cut = {"a"}
    core.read_index(7)
    for _ in range(25):
        core.tick()
    lost: list[int] = []
    while core.has_ready():
        ready = core.take_ready()
        core.mark_persisted(ready)
        lost += ready.lost_reads
    assert lost == [7]


def test_a_removed_node_does_not_disturb() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cores["a"].change_membership(MembershipChange.REMOVE, "c")
    s.pump(drop=lambda m: m.dst == "c")  # it never learns
    term = s.cores["a"].term
    for _ in range(60):
        s.cores["c"].tick()
        s.cores["a"].tick()
        s.pump()
    assert s.cores["a"].is_leader and s.cores["a"].term == term


def test_a_node_that_was_cut_off_comes_back_without_an_election() -> None:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cut = {"c"}
    s.ticks(60)
    term = s.cores["a"].term
    s.cut = set()
    s.ticks(30)
    assert s.cores["a"].is_leader and s.cores["a"].term == term


def test_membership_changes_one_at_a_time_and_only_after_a_commit_of_the_term() -> None:
    s = Story("a", "b", "c")
    core = s.cores["a"]
    for _ in range(20):
        core.tick()
    s.pump(drop=lambda m: isinstance(m, AppendEntries))
    assert core.is_leader
    with pytest.raises(RequestRejectedError, match="nothing in its term"):
        core.change_membership(MembershipChange.ADD_LEARNER, "d")
    s.ticks(4, "a")
    core.change_membership(MembershipChange.ADD_LEARNER, "d")
    with pytest.raises(RequestRejectedError, match="under way"):
        core.change_membership(MembershipChange.ADD_LEARNER, "e")
    s.pump()
    s.boot("d")
    s.ticks(6, "a")
    core.change_membership(MembershipChange.PROMOTE, "d")
    s.pump()
    assert core.membership.voters == frozenset("abcd")
    core.change_membership(MembershipChange.REMOVE, "d")
    s.pump()
    with pytest.raises(RequestRejectedError, match="new one"):
        core.change_membership(MembershipChange.ADD_LEARNER, "d")


def test_a_learner_far_behind_is_not_promoted() -> None:
    s = Story("a", "b", "c", config=RaftConfig(max_promotion_lag=2))
    core = s.elect("a")
    core.change_membership(MembershipChange.ADD_LEARNER, "d")
    s.propose("a", *(b"%d" % n for n in range(9)))
    with pytest.raises(RequestRejectedError, match="lacks"):
        core.change_membership(MembershipChange.PROMOTE, "d")


def test_a_leader_that_removes_itself_leaves_after_the_commit() -> None:
    s = Story("a", "b", "c")
    core = s.elect("a")
    core.change_membership(MembershipChange.REMOVE, "a")
    s.pump()
    assert not core.is_leader
    s.elect("b")
    s.propose("b", b"x")
    assert s.applied["b"] == [b"x"]


def test_leadership_is_handed_over_without_a_gap() -> None:
    s = Story("a", "b", "c")
    core = s.elect("a")
    s.propose("a", b"x")
    core.transfer_leadership("b")
    with pytest.raises(RequestRejectedError, match="handed over"):
        core.propose(b"y")
    s.pump()
    assert s.cores["b"].is_leader and not core.is_leader


def snapshot_story() -> Story:
    s = Story("a", "b", "c")
    s.elect("a")
    s.cut = {"c"}
    s.propose("a", *(b"command%d" % n for n in range(20)))
    core = s.cores["a"]
    core.compact(core.applied_index, b"\0".join(s.applied["a"]))
    s.pump()
    assert core.log.first_index > 10
    s.cut = set()
    return s


def test_a_node_that_lacks_what_was_compacted_takes_a_snapshot_while_entries_go_on() -> None:
    s = snapshot_story()
    for n in range(10):
        s.cores["a"].propose(b"more%d" % n)
        s.ticks(1, "a")
    s.ticks(10, "a")
    assert s.applied["c"] == s.applied["a"] and len(s.applied["c"]) == 30
    s.boot("c")  # from its disk
    s.ticks(5, "a")
    assert s.applied["c"] == s.applied["a"]


def test_a_snapshot_interrupted_halfway_goes_on_or_starts_again() -> None:
    s = snapshot_story()
    seen: list[int] = []

    def lossy(m: Message) -> bool:
        if isinstance(m, SnapshotChunk):
            seen.append(m.offset)
            if len(seen) == 4:
                s.boot("c")  # restarted: what it had of the snapshot is gone
        return isinstance(m, SnapshotChunk) and len(seen) % 3 == 0

    for _ in range(80):
        s.cores["a"].tick()
        s.pump(drop=lossy)
    assert s.applied["c"] == s.applied["a"] and seen.count(0) >= 2


def test_an_empty_disk_does_not_vote_for_what_it_forgot() -> None:
    """It starts without membership: nobody's quorum counts it, and it never stands for election."""
    s = Story("a", "b", "c")
    s.elect("a")
    s.propose("a", b"x")
    blank = s.boot("c", InMemoryStorage(Membership(frozenset())))
    for _ in range(100):
        blank.tick()
    assert blank.role is Role.FOLLOWER and not blank.has_ready()


def test_the_last_voter_cannot_be_removed_and_one_node_is_a_group() -> None:
    s = Story("a")
    s.elect("a")
    s.propose("a", b"x")
    assert s.applied["a"] == [b"x"]
    with pytest.raises(RequestRejectedError):
        s.cores["a"].change_membership(MembershipChange.REMOVE, "a")


def test_proposals_beyond_the_bound_wait_outside() -> None:
    s = Story("a", "b", "c", config=RaftConfig(max_uncommitted_bytes=100))
    core = s.elect("a")
    core.propose(b"x" * 90)
    with pytest.raises(RequestRejectedError, match="waits"):
        core.propose(b"x" * 90)


# Schedules.


def test_some_hundreds_of_schedules_break_nothing() -> None:
    for seed in range(300):
        failure = run(seed)
        assert failure is None, failure


def test_a_seed_gives_one_run() -> None:
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
def test_a_planted_bug_is_found(make: type[RaftCore]) -> None:
    limit = mutations.SEEDS.get(make.__name__, 60)
    assert any(run(seed, core_factory=make, shrinking=False) for seed in range(limit))


def test_a_failing_schedule_is_cut_down_and_still_fails() -> None:
    failure = next(
        f for f in (run(s, core_factory=mutations.IgnoresOlderLogs, shrinking=False) for s in range(60)) if f
    )
    small = shrink(failure, mutations.IgnoresOlderLogs)
    assert isinstance(small, Failure) and len(small.operations) < len(failure.operations) // 2
    assert find_violation(small.seed, small.operations, mutations.IgnoresOlderLogs) == small.violation
    assert find_violation(small.seed, small.operations) is None

"""Messages between nodes that are lost, while nothing new is proposed that would repair the loss.

Guards against followers that stay behind until the next change.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable

import pytest

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.core import RaftCore
from juniperreel.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
from juniperreel.raft.progress import ProgressState
from juniperreel.raft.types import MembershipChange
from tests.raft.mutations import HeartbeatsFollowMatchIndex
from tests.raft.test_core import CONFIG, ScriptedGroup

CATCH_UP_TICKS = 10  # five heartbeats


def lose(group: ScriptedGroup, is_lost: Callable[[Message], bool]) -> list[Message]:
    """Deliver everything in flight but the messages that are lost; return those."""
    lost: list[Message] = []

    def drop(message: Message) -> bool:
        if is_lost(message):
            lost.append(message)
            return True
        return False

    group.deliver_messages(drop)
    return lost


def is_append_to(name: str) -> Callable[[Message], bool]:
    return lambda message: isinstance(message, AppendEntries) and message.dst == name


def is_reply_from(name: str) -> Callable[[Message], bool]:
    return lambda message: isinstance(message, AppendEntriesReply) and message.src == name


def assert_all_caught_up(group: ScriptedGroup, leader: str) -> None:
    last_index = group.cores[leader].log.last_index
    positions = {name: (core.log.last_index, core.commit_index) for name, core in group.cores.items()}
    assert positions == dict.fromkeys(group.cores, (last_index, last_index))


def group_with_leader(*names: str, config: RaftConfig = CONFIG) -> ScriptedGroup:
    group = ScriptedGroup(*names, config=config)
    group.elect("a")
    group.run_ticks(4, "a")  # every follower is in state REPLICATE
    return group


@pytest.mark.parametrize("count", [1, 5, 40])
def test_entries_lost_on_the_way_to_a_follower_are_sent_again_without_a_new_proposal(count: int) -> None:
    group = group_with_leader("a", "b", "c")
    for number in range(count):
        group.cores["a"].propose(b"%d" % number)
    assert lose(group, is_append_to("b"))
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")


def test_lost_reply_does_not_keep_the_commit_index_of_its_follower_behind() -> None:
    group = group_with_leader("a", "b", "c")
    group.cores["a"].propose(b"x")
    assert lose(group, is_reply_from("b"))
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")
    assert group.cores["a"].status().match_indexes["b"] == group.cores["a"].log.last_index


def test_commit_lost_by_both_followers_reaches_them_without_a_new_proposal() -> None:
    group = group_with_leader("a", "b", "c")
    core = group.cores["a"]
    core.propose(b"x")
    lose(group, lambda message: isinstance(message, AppendEntries) and not message.entries)
    assert core.commit_index == core.log.last_index
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")


def test_change_around_which_both_followers_restart_is_committed_without_a_retry() -> None:
    group = group_with_leader("a", "b", "c")
    group.cores["a"].propose(b"x")
    assert lose(group, lambda message: message.src == "a")
    group.restart("b")
    group.restart("c")
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert group.applied["a"] == [b"x"]
    assert_all_caught_up(group, "a")


def test_first_entry_of_a_new_leader_is_sent_again_to_a_follower_that_lost_it() -> None:
    group = ScriptedGroup("a", "b", "c")
    for _ in range(2 * CONFIG.election_ticks):
        group.cores["a"].tick()
    assert lose(group, lambda message: is_append_to("b")(message) or is_append_to("c")(message))
    assert group.cores["a"].is_leader
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")
    assert group.cores["a"].has_committed_in_term


def test_first_message_lost_by_an_added_node_is_sent_again() -> None:
    group = group_with_leader("a", "b", "c")
    group.restart("d")
    group.cores["a"].change_membership(MembershipChange.ADD_LEARNER, "d")
    assert lose(group, lambda message: message.dst == "d")
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")


def test_follower_that_cannot_reply_for_a_while_catches_up_once_it_can() -> None:
    group = group_with_leader("a", "b", "c")
    for number in range(60):
        group.cores["a"].propose(b"%d" % number)
        group.cores["a"].tick()
        lose(group, lambda message: message.src == "b")
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")


def test_follower_that_lost_entries_which_the_leader_has_compacted_gets_the_snapshot() -> None:
    group = group_with_leader("a", "b", "c")
    group.cores["a"].propose(b"x")
    assert lose(group, is_append_to("b"))
    core = group.cores["a"]
    core.compact(core.applied_index, b"\0".join(group.applied["a"]))
    assert core.log.first_index > core.status().match_indexes["b"] + 1
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert group.applied["b"] == [b"x"]
    assert_all_caught_up(group, "a")


@pytest.mark.parametrize("lost_chunk", range(4))
def test_lost_chunk_or_reply_to_it_is_made_up_for_within_two_heartbeats(lost_chunk: int) -> None:
    for lost_kind in (SnapshotChunk, SnapshotReply):
        group = group_with_leader("a", "b", "c")
        group.partitioned = {"c"}
        group.propose("a", *(b"command%d" % number for number in range(4)))
        core = group.cores["a"]
        core.compact(core.applied_index, b"\0".join(group.applied["a"]))
        group.deliver_messages()
        group.partitioned = set()
        seen = 0

        def lose_one(message: Message, lost_kind: type = lost_kind) -> bool:
            nonlocal seen
            seen += isinstance(message, lost_kind) and "c" in (message.src, message.dst)
            return isinstance(message, lost_kind) and seen == lost_chunk + 1

        for _ in range(CATCH_UP_TICKS):
            core.tick()
            group.deliver_messages(lose_one)
        assert_all_caught_up(group, "a")
        assert group.applied["c"] == group.applied["a"]


def test_transfer_of_leadership_to_a_follower_whose_reply_was_lost_elects_it() -> None:
    group = group_with_leader("a", "b", "c")
    core = group.cores["a"]
    core.propose(b"x")
    assert lose(group, is_reply_from("b"))
    core.transfer_leadership("b")
    assert lose(group, lambda message: isinstance(message, TimeoutNow)) == []  # it waits for the reply
    group.run_ticks(CATCH_UP_TICKS - 1, "a")  # less than the time after which the transfer is aborted
    assert group.cores["b"].is_leader


class DelayedLink:
    """Delivers messages to and from one follower in order, `delay_ticks` after they were sent."""

    def __init__(self, group: ScriptedGroup, follower: str, delay_ticks: int) -> None:
        self._group = group
        self._follower = follower
        self._delay_ticks = delay_ticks
        self._in_flight: deque[tuple[int, Message]] = deque()
        self._tick = 0
        self.entries_sent: Counter[int] = Counter()  # by index
        self.chunks_sent: Counter[int] = Counter()  # by offset
        self.lost_entry: int | None = None

    def advance(self) -> None:
        """Advance the leader by one tick and deliver what is due."""
        self._tick += 1
        self._group.cores["a"].tick()
        self._group.deliver_messages(self._hold_back)
        while self._in_flight and self._in_flight[0][0] <= self._tick:
            _, message = self._in_flight.popleft()
            self._group.cores[message.dst].step(message)
            self._group.deliver_messages(self._hold_back)

    def _hold_back(self, message: Message) -> bool:
        if self._follower not in (message.src, message.dst):
            return False
        if isinstance(message, AppendEntries):
            indexes = [entry.index for entry in message.entries]
            self.entries_sent.update(indexes)
            if self.lost_entry in indexes:
                self.lost_entry = None
                return True
        if isinstance(message, SnapshotChunk):
            self.chunks_sent[message.offset] += 1
        self._in_flight.append((self._tick + self._delay_ticks, message))
        return True


@pytest.mark.parametrize("delay_ticks", [0, 1, 5, 8])
def test_busy_leader_sends_each_entry_once_over_a_slow_link(delay_ticks: int) -> None:
    """A round trip over the slow link takes up to eight heartbeats."""
    group = group_with_leader("a", "b", "c")
    link = DelayedLink(group, "b", delay_ticks)
    for number in range(200):
        group.cores["a"].propose(b"%d" % number)
        link.advance()
    for _ in range(4 * delay_ticks + CATCH_UP_TICKS):
        link.advance()
    assert_all_caught_up(group, "a")
    assert len(link.entries_sent) == 200
    assert set(link.entries_sent.values()) == {1}


def test_one_lost_message_on_a_slow_link_sends_only_what_followed_it_again() -> None:
    group = group_with_leader("a", "b", "c")
    link = DelayedLink(group, "b", 5)
    link.lost_entry = 100
    for number in range(200):
        group.cores["a"].propose(b"%d" % number)
        link.advance()
    for _ in range(40):
        link.advance()
    assert_all_caught_up(group, "a")
    sent_again = {index for index, times in link.entries_sent.items() if times > 1}
    assert min(sent_again) == 100
    assert len(sent_again) <= CONFIG.max_inflight_appends
    assert max(link.entries_sent.values()) <= 3  # lost, as the probe, and after it


def test_reads_during_a_snapshot_transfer_over_a_slow_link_send_each_chunk_once() -> None:
    group = group_with_leader("a", "b", "c")
    group.partitioned = {"c"}
    group.propose("a", *(b"command%d" % number for number in range(10)))
    core = group.cores["a"]
    core.compact(core.applied_index, b"\0".join(group.applied["a"]))
    group.deliver_messages()
    group.partitioned = set()
    link = DelayedLink(group, "c", 5)
    for number in range(300):
        core.read_index(number)
        link.advance()
    assert_all_caught_up(group, "a")
    assert len(link.chunks_sent) > 5
    assert set(link.chunks_sent.values()) == {1}


def test_rejection_that_arrives_late_does_not_send_entries_again() -> None:
    group = group_with_leader("a", "b", "c")
    core: RaftCore = group.cores["a"]
    group.propose("a", b"x")
    last_index = core.log.last_index
    stale = AppendEntriesReply("b", "a", core.term, accepted=False, index=0, rejected_index=last_index)
    core.step(stale)
    assert core._replication._progress["b"].state is ProgressState.REPLICATE
    assert group.process_ready("a") is None


@pytest.mark.parametrize("count", [1, 5])
def test_restarted_follower_of_an_older_version_s_leader_gets_what_it_missed(count: int) -> None:
    """A leader whose heartbeats follow the match index does not notice that the messages were lost."""
    group = ScriptedGroup("a", "b", "c")
    group.cores["a"] = HeartbeatsFollowMatchIndex("a", group.disks["a"].recover(), CONFIG, random.Random("a"))
    group.elect("a")
    group.run_ticks(4, "a")
    for number in range(count):
        group.cores["a"].propose(b"%d" % number)
    assert lose(group, is_append_to("b"))
    group.restart("b")
    group.run_ticks(CATCH_UP_TICKS, "a")
    assert_all_caught_up(group, "a")

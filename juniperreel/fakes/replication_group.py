"""A replication group: its primary and epoch, log replication, and failover.

Each endpoint has its own log. Replicas receive the primary's log over a stream, after a delay, and apply it
on one thread. A primary that is down, partitioned or unresponsive for the detection time is replaced: after
the election, the replica that received most becomes primary in a new epoch. Entries that only the old primary
has are truncated.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

import trio

from juniperreel.fakes.replica import EpochStart
from juniperreel.net import Clock
from juniperreel.verification.records import Promoted, RecordSink

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

TICK_S = 0.01
MONITOR_INTERVAL_S = 0.1
MONITOR_RETRY_S = 0.05
CANDIDATE_WAIT_S = 0.1
MAX_EPOCHS = 16
MAX_APPLY_BUDGET = 1e4
STEP_DOWN_DELAY_S = 0.5


class LogTransfer(NamedTuple):
    """A state of the primary's log in transfer to replicas."""

    due_s: float  # when it arrives
    length: int
    heartbeat: int


class FollowedPrimary(NamedTuple):
    """The primary that a replica follows, and its epoch."""

    primary: str
    epoch: int


class ReplicationGroup:
    """The endpoints of one group and the state of its replication."""

    def __init__(
        self,
        number: int,
        clock: Clock,
        rng: random.Random,
        record: RecordSink,
        detection_s: float,
        election_s: float,
        streaming: bool = True,
    ) -> None:
        """With `streaming`, each replica follows the primary over its own stream.

        Otherwise the group copies the primary's log in memory, at a twentieth of the cost, which saves
        processor time in large trials.
        """
        self.number = number
        self.streaming = streaming
        self.endpoints: list[FakeEndpoint] = []
        self.primary: FakeEndpoint | None = None
        self.epoch = 1
        self.replication_delay_s = 0.005
        self.apply_us = 400  # time to apply one commit on a replica's single thread
        self.deduplication_window_us = 5_000_000
        self.step_down_delay_s = STEP_DOWN_DELAY_S  # for which a former primary still claims the role
        self.received = trio.Event()  # replaced each time a replica receives data
        self._clock = clock
        self._rng = rng
        self._record = record
        self._detection_s = detection_s
        self._election_s = election_s
        self._last_position = 0
        self._outdated_since: dict[str, float] = {}  # by former primary that can reach its group
        self._followed: dict[str, FollowedPrimary] = {}  # by replica; without streaming only
        self._transfers: list[LogTransfer] = []  # the same

    def next_position(self) -> int:
        """A new commit position: the group's clock, forced to increase strictly."""
        self._last_position = max(self._last_position + 1, self._clock.now_us())
        return self._last_position

    def heartbeat(self) -> int:
        """A position with all commits so far at or below it, and all later commits above it."""
        self._last_position = max(self._last_position, self._clock.now_us())
        return self._last_position

    async def run(self) -> None:
        """Replicate the log and replace failed primaries, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._monitor_primary)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            now = trio.current_time()
            primary = self.primary
            if primary is not None and _is_reachable(primary) and primary.replica.epoch == self.epoch:
                self._advance_primary(primary)
            if not self.streaming and primary is not None:
                self._copy_log(primary, now)
            self._step_down_former_primaries(now)
            for endpoint in self.endpoints:
                if endpoint is not self.primary and endpoint.alive and not endpoint.faults.hung:
                    self._apply(endpoint)

    def _advance_primary(self, primary: FakeEndpoint) -> None:
        replica = primary.replica
        replica.position = self.heartbeat()
        replica.received = replica.position
        replica.forget_writes(replica.position - self.deduplication_window_us)

    def _copy_log(self, primary: FakeEndpoint, now: float) -> None:
        """Bring all reachable replicas to the state of the primary's log one replication delay ago."""
        if not (_is_reachable(primary) and primary.claims_primary):
            self._transfers = []
            return
        log = primary.replica.log
        self._transfers.append(LogTransfer(now + self.replication_delay_s, len(log), self.heartbeat()))
        arrived = [transfer for transfer in self._transfers if transfer.due_s <= now]
        if not arrived:
            return
        self._transfers = [transfer for transfer in self._transfers if transfer.due_s > now]
        newest = arrived[-1]
        for endpoint in self.endpoints:
            if endpoint is primary or endpoint.claims_primary or not _is_reachable(endpoint):
                continue
            followed = FollowedPrimary(primary.name, self.epoch)
            replica = endpoint.replica
            if self._followed.get(endpoint.name) != followed:
                common_prefix = primary.replica.common_prefix(replica.log_positions())
                replica.follow(common_prefix, primary.replica.epochs)
                self._followed[endpoint.name] = followed
            replica.append(log[len(replica.log) : newest.length], newest.heartbeat)
        self.notify_received()

    def notify_received(self) -> None:
        """Wake writes that are waiting for replication."""
        self.received.set()
        self.received = trio.Event()

    def _apply(self, endpoint: FakeEndpoint) -> None:
        """Apply as many commits as one thread can apply in a tick."""
        replica = endpoint.replica
        commits_per_tick = TICK_S * 1e6 / (self.apply_us * replica.apply_slowdown)
        replica.apply_budget = min(replica.apply_budget + commits_per_tick, MAX_APPLY_BUDGET)
        while replica.store.applied < len(replica.log) and replica.apply_budget >= 1:
            commit = replica.log[replica.store.applied]
            replica.apply(commit)
            replica.apply_budget -= 1
            replica.position = max(replica.position, commit.position)
        if replica.store.applied == len(replica.log):
            replica.apply_budget = 0.0
            replica.position = max(replica.position, replica.received)
        replica.forget_writes(replica.position - self.deduplication_window_us)

    def is_replicated(self, epoch: int, position: int, source: FakeEndpoint) -> bool:
        """Whether another live endpoint has received all commits up to a position."""
        return any(
            endpoint.replica.epoch == epoch and endpoint.replica.received >= position
            for endpoint in self.endpoints
            if endpoint is not source and endpoint.alive and not endpoint.faults.partitioned
        )

    def _step_down_former_primaries(self, now: float) -> None:
        """Former primaries step down some time after they can reach their group again."""
        for endpoint in self.endpoints:
            outdated = endpoint.claims_primary and endpoint is not self.primary and self.primary is not None
            if outdated and _is_reachable(endpoint):
                since = self._outdated_since.setdefault(endpoint.name, now)
                if now - since > self.step_down_delay_s:
                    endpoint.claims_primary = False
            else:
                self._outdated_since.pop(endpoint.name, None)

    async def _monitor_primary(self) -> None:
        """Detect a primary that does not answer its group, and elect another."""
        while True:
            await trio.sleep(MONITOR_INTERVAL_S)
            primary = self.primary
            if primary is not None and _serves_as_primary(primary):
                continue
            with trio.move_on_after(self._detection_s * self._rng.uniform(0.8, 1.2)) as detection:
                while primary is not None and not _serves_as_primary(primary):
                    await trio.sleep(MONITOR_RETRY_S)
            if not detection.cancelled_caught and primary is not None:
                continue
            self.primary = None
            await trio.sleep(self._election_s * self._rng.uniform(0.8, 1.2))
            await self.elect()

    async def elect(self, avoid: FakeEndpoint | None = None) -> FakeEndpoint:
        """Promote the replica that received most, once there is a candidate; it applies its backlog first."""
        elected = max(await self._candidates(avoid), key=lambda e: (e.replica.received, e.name))
        replica = elected.replica
        replica.apply_all()
        start = max([replica.received, *(commit.position for commit in replica.log[-1:])])
        self.epoch = max(self.epoch, replica.epoch) + 1
        replica.epochs = [*replica.epochs, EpochStart(self.epoch, start)][-MAX_EPOCHS:]
        self._last_position = max(self._last_position, start)
        replica.position = self.heartbeat()
        replica.received = replica.position
        former = self.primary
        self.primary = elected
        elected.claims_primary = True
        if former is not None and former is not elected and _is_reachable(former):
            former.claims_primary = False
        self._record(Promoted(self._clock.now_us(), self.number, self.epoch, start, elected.name))
        return elected

    async def _candidates(self, avoid: FakeEndpoint | None) -> Sequence[FakeEndpoint]:
        """Wait for endpoints that can be promoted; draining ones are returned only if there are no others.

        Endpoints that joined and have received nothing are excluded, as promoting one would lose the commits
        of the group.
        """
        while True:
            has_history = any(e.replica.received for e in self.endpoints)
            reachable = [
                e
                for e in self.endpoints
                if _is_reachable(e) and e is not avoid and (e.replica.received or not has_history)
            ]
            candidates = [e for e in reachable if not e.draining] or reachable
            if candidates:
                return candidates
            await trio.sleep(CANDIDATE_WAIT_S)


def _is_reachable(endpoint: FakeEndpoint) -> bool:
    """Whether the rest of the group can communicate with the endpoint."""
    return endpoint.alive and not endpoint.faults.hung and not endpoint.faults.partitioned


def _serves_as_primary(endpoint: FakeEndpoint) -> bool:
    return _is_reachable(endpoint) and endpoint.claims_primary

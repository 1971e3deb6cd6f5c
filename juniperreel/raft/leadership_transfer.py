"""Handing the leadership to a chosen voter (dissertation, 3.10)."""

from __future__ import annotations

from juniperreel.raft.errors import RequestRejectedError
from juniperreel.raft.messages import TimeoutNow
from juniperreel.raft.replication import Replication
from juniperreel.raft.state import NodeState


class LeadershipTransfer:
    """Owns the transfer under way, of which there is one at most.

    While it is under way the leader takes no proposals, so that the target can hold all of the log.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """The progress in `replication` tells when the target holds all of the log."""
        self._state = state
        self._replication = replication
        self._target: str | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the leadership is being handed over."""
        return self._target is not None

    def start(self, target: str) -> None:
        """Hand the leadership to `target`. Raises RequestRejectedError if it is not another voter."""
        if target not in self._state.membership.voters or target == self._state.name:
            reason = f"{target} is not another voter"
            raise RequestRejectedError(reason)
        self._target = target
        self.on_progress(target)

    def on_progress(self, follower: str) -> None:
        """Ask the target to stand for election as soon as it holds all of the log."""
        if follower != self._target:
            return
        progress = self._replication.progress_of(follower)
        if progress is not None and progress.match_index == self._state.log.last_index:
            self._state.send(TimeoutNow(self._state.name, follower, self._state.term))

    def abort(self) -> None:
        """Give up the transfer under way, if there is one."""
        self._target = None

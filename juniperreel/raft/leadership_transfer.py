"""Leadership transfer to a chosen voter (dissertation, 3.10)."""

from __future__ import annotations

from juniperreel.raft.errors import RequestRejectedError
from juniperreel.raft.messages import TimeoutNow
from juniperreel.raft.replication import Replication
from juniperreel.raft.state import NodeState


class LeadershipTransfer:
    """Owns the leadership transfer in progress, at most one.

    The leader rejects proposals during a transfer, so that the target can catch up with its log.
    """

    def __init__(self, state: NodeState, replication: Replication) -> None:
        """`replication` provides the target's match index."""
        self._state = state
        self._replication = replication
        self._target: str | None = None

    @property
    def in_progress(self) -> bool:
        """Whether a transfer is in progress."""
        return self._target is not None

    def start(self, target: str) -> None:
        """Start a transfer to `target`. Raises RequestRejectedError if it is not another voter."""
        if target not in self._state.membership.voters or target == self._state.name:
            reason = f"{target} is not another voter"
            raise RequestRejectedError(reason)
        self._target = target
        self.on_progress(target)

    def on_progress(self, follower: str) -> None:
        """Send the target a TimeoutNow once its log is up to date."""
        if follower != self._target:
            return
        progress = self._replication.progress_of(follower)
        if progress is not None and progress.match_index == self._state.log.last_index:
            self._state.send(TimeoutNow(self._state.name, follower, self._state.term))

    def abort(self) -> None:
        """Abort the transfer in progress, if any."""
        self._target = None

"""Group membership: encoding in the log, history along the log, and validation of changes."""

from __future__ import annotations

from juniperreel.raft.errors import MalformedDataError, MembershipChangeRejectedError
from juniperreel.raft.types import Entry, EntryKind, Membership, MembershipChange

NAME_SEPARATOR = ","
SECTION_SEPARATOR = "\n"
MEMBERSHIP = "a membership"
SECTIONS = 3  # voters, learners, retired


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the data of a CONFIG entry."""
    sections = (membership.voters, membership.learners, membership.retired)
    return SECTION_SEPARATOR.join(NAME_SEPARATOR.join(sorted(names)) for names in sections).encode()


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a CONFIG entry. Raises ValueError if it is malformed."""
    lines = data.decode().split(SECTION_SEPARATOR)
    if len(lines) != SECTIONS:
        raise MalformedDataError(MEMBERSHIP, f"{len(lines)} sections")
    voters, learners, retired = (frozenset(filter(None, line.split(NAME_SEPARATOR))) for line in lines)
    return Membership(voters, learners, retired)


class MembershipHistory:
    """The membership at each index of the log.

    The latest CONFIG entry in the log is in force, whether committed or not (dissertation, 4.1). If it is
    truncated, the previous one is in force again.
    """

    def __init__(self, index: int, membership: Membership) -> None:
        """Starts with the membership of the snapshot at `index`."""
        self._history = [(index, membership)]

    @property
    def current(self) -> Membership:
        """The membership in force."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that introduced the membership in force."""
        return self._history[-1][0]

    def append(self, entry: Entry) -> None:
        """Record an entry appended to the log; entries other than CONFIG have no effect."""
        if entry.kind is EntryKind.CONFIG:
            self._history.append((entry.index, decode_membership(entry.data)))

    def truncate(self, start: int) -> None:
        """Drop the memberships introduced at `start` or later, which were truncated from the log."""
        while len(self._history) > 1 and self._history[-1][0] >= start:
            self._history.pop()

    def at(self, index: int) -> Membership:
        """The membership in force at `index`, which must not precede the last compaction."""
        return next(membership for since, membership in reversed(self._history) if since <= index)

    def compact(self, index: int) -> None:
        """Drop the history before `index`."""
        later = [(since, membership) for since, membership in self._history if since > index]
        self._history = [(index, self.at(index)), *later]

    def reset(self, index: int, membership: Membership) -> None:
        """Restart the history with the membership of the snapshot at `index`."""
        self._history = [(index, membership)]


def changed_membership(
    membership: Membership, change: MembershipChange, name: str, lag: int, max_lag: int
) -> Membership:
    """The membership after one change.

    `lag` is the number of committed entries that the node is not known to have; a learner that lags by more
    than `max_lag` is not promoted. Raises MembershipChangeRejectedError.
    """
    if change is MembershipChange.ADD_LEARNER:
        return _with_learner(membership, name)
    if name not in membership.all:
        raise MembershipChangeRejectedError(name, f"{name} does not belong to the group")
    if change is MembershipChange.PROMOTE:
        if name in membership.voters:
            raise MembershipChangeRejectedError(name, f"{name} votes already")
        if lag > max_lag:
            raise MembershipChangeRejectedError(name, f"{name} lacks {lag} entries still")
        return Membership(membership.voters | {name}, membership.learners - {name}, membership.retired)
    if membership.voters == {name}:
        raise MembershipChangeRejectedError(name, "the last voter cannot be removed")
    return Membership(membership.voters - {name}, membership.learners - {name}, membership.retired | {name})


def _with_learner(membership: Membership, name: str) -> Membership:
    if name in membership.all:
        raise MembershipChangeRejectedError(name, f"{name} belongs to the group already")
    if name in membership.retired or not name or set(name) & {NAME_SEPARATOR, SECTION_SEPARATOR}:
        raise MembershipChangeRejectedError(
            name, f"{name!r} has left or is no name; a node that comes back takes a new one"
        )
    return Membership(membership.voters, membership.learners | {name}, membership.retired)

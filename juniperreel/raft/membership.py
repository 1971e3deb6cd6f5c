"""Who belongs to the group: its encoding in the log, its history, and which changes are allowed."""

from __future__ import annotations

from juniperreel.raft.errors import MalformedDataError, MembershipChangeRejectedError
from juniperreel.raft.types import Entry, EntryKind, Membership, MembershipChange

NAME_SEPARATOR = ","
SECTION_SEPARATOR = "\n"
MEMBERSHIP = "a membership"
SECTIONS = 3  # voters, learners, retired


def encode_membership(membership: Membership) -> bytes:
    """The data of a CONFIG entry."""
    sections = (membership.voters, membership.learners, membership.retired)
    return SECTION_SEPARATOR.join(NAME_SEPARATOR.join(sorted(names)) for names in sections).encode()


def decode_membership(data: bytes) -> Membership:
    """The membership in a CONFIG entry's data. Raises ValueError for other bytes."""
    lines = data.decode().split(SECTION_SEPARATOR)
    if len(lines) != SECTIONS:
        raise MalformedDataError(MEMBERSHIP, f"{len(lines)} sections")
    voters, learners, retired = (frozenset(filter(None, line.split(NAME_SEPARATOR))) for line in lines)
    return Membership(voters, learners, retired)


class MembershipHistory:
    """The memberships along the log.

    In force is that of the newest CONFIG entry in the log, committed or not (dissertation, 4.1). When that
    entry is truncated, the one before it is in force again.
    """

    def __init__(self, index: int, membership: Membership) -> None:
        """Begins with the membership of the snapshot at `index`."""
        self._history = [(index, membership)]

    @property
    def current(self) -> Membership:
        """The membership in force."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that brought the membership in force."""
        return self._history[-1][0]

    def append(self, entry: Entry) -> None:
        """Note an entry that was appended to the log; only CONFIG entries count."""
        if entry.kind is EntryKind.CONFIG:
            self._history.append((entry.index, decode_membership(entry.data)))

    def truncate(self, start: int) -> None:
        """Note that `start` and all after it were dropped from the log."""
        while len(self._history) > 1 and self._history[-1][0] >= start:
            self._history.pop()

    def at(self, index: int) -> Membership:
        """The membership that is in force at an index, which must not lie before the last compaction."""
        return next(membership for since, membership in reversed(self._history) if since <= index)

    def compact(self, index: int) -> None:
        """Forget what was in force before `index`."""
        later = [(since, membership) for since, membership in self._history if since > index]
        self._history = [(index, self.at(index)), *later]

    def reset(self, index: int, membership: Membership) -> None:
        """Begin again with the membership of the snapshot at `index`."""
        self._history = [(index, membership)]


def changed_membership(
    membership: Membership, change: MembershipChange, name: str, lag: int, max_lag: int
) -> Membership:
    """The membership after one change.

    `lag` counts the committed entries that the named node is not known to hold; more than `max_lag` of them
    forbid its promotion. Raises MembershipChangeRejectedError.
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

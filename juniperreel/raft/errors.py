"""Errors of the package. All of them derive from `RaftError`."""

from __future__ import annotations

from pathlib import Path


class RaftError(Exception):
    """Base of every error that this package raises on purpose."""


class NotLeaderError(RaftError):
    """Only the leader accepts this request.

    Attributes:
        leader: The node that may be the leader, or None if no leader is known.
    """

    def __init__(self, leader: str | None) -> None:
        """`leader` is the node that may be the leader, if one is known."""
        super().__init__(f"not the leader; that is {leader or 'not known'}")
        self.leader = leader


class RequestRejectedError(RaftError):
    """The leader does not accept the request now.

    Attributes:
        reason: Why, in words that an operator may read.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says why, in words that an operator may read."""
        super().__init__(reason)
        self.reason = reason


class MembershipChangeRejectedError(RequestRejectedError):
    """A membership change cannot be made to the membership in force.

    Attributes:
        node: The node that the change names.
        reason: Why, in words that an operator may read.
    """

    def __init__(self, node: str, reason: str) -> None:
        """`node` is the one that the change names; `reason` says why it is rejected."""
        super().__init__(reason)
        self.node = node


class EntrySupersededError(RaftError):
    """Another entry took the place of the proposed one: it was not applied, and will not be.

    Attributes:
        reason: What took its place.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says what took the entry's place."""
        super().__init__(reason)
        self.reason = reason


class LeaderUnreachableError(RaftError):
    """No instance answered as the leader.

    Attributes:
        attempts: How many calls were made.
        last_failure: What became of the last one.
    """

    def __init__(self, attempts: int, last_failure: str) -> None:
        """`attempts` calls were made, and the last one ended with `last_failure`."""
        super().__init__(f"no leader in {attempts} tries; last: {last_failure}")
        self.attempts = attempts
        self.last_failure = last_failure


class SafetyViolationError(RaftError, AssertionError):
    """A message or log contradicts a safety property of Raft: the program or a peer is faulty.

    Attributes:
        node: The node that noticed.
        violation: Which property is broken, and how.
    """

    def __init__(self, node: str, violation: str) -> None:
        """`node` noticed the `violation`, which says which property is broken and how."""
        super().__init__(violation)
        self.node = node
        self.violation = violation


class LogIndexError(RaftError, ValueError):
    """An index lies outside the log, or entries do not follow each other.

    Attributes:
        index: The index at fault.
    """

    def __init__(self, index: int, reason: str) -> None:
        """`index` is at fault because of `reason`."""
        super().__init__(f"index {index}: {reason}")
        self.index = index
        self.reason = reason


class MalformedDataError(RaftError, ValueError):
    """Bytes from a peer, a client or the log are not what they should be.

    Attributes:
        expected: What the bytes should have been.
        reason: What is wrong with them.
    """

    def __init__(self, expected: str, reason: str) -> None:
        """The bytes are not `expected`, because of `reason`."""
        super().__init__(f"not {expected}: {reason}")
        self.expected = expected
        self.reason = reason


class CommandRejectedError(RaftError):
    """A command does not lead from the version in force to a valid one.

    Attributes:
        reason: Why, in words that an operator may read.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says why, in words that an operator may read."""
        super().__init__(reason)
        self.reason = reason


class UnknownNameError(CommandRejectedError):
    """A command changes something that is not in the configuration.

    Attributes:
        kind: What it should have been: a member, group, class, tenant or limit.
        name: The name that is not there.
    """

    def __init__(self, kind: str, name: str | int) -> None:
        """There is no `kind` of that `name`."""
        super().__init__(f"there is no {kind} {name}")
        self.kind = kind
        self.name = name


class InvalidNodeNameError(RaftError, ValueError):
    """A node's name does not hold an address.

    Attributes:
        name: The name at fault.
    """

    def __init__(self, name: str) -> None:
        """`name` is the name at fault."""
        super().__init__(f"{name!r} is not name@host:port")
        self.name = name


class StorageError(RaftError):
    """A node's directory cannot be used.

    Attributes:
        path: The directory, or the file in it.
        reason: What is wrong and what to do.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """`path` cannot be used because of `reason`."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DamagedDirectoryError(StorageError):
    """A record is missing or does not match its checksum, so that the node must be replaced.

    Attributes:
        node: The node whose directory it is.
        damage: What was found.
    """

    def __init__(self, path: Path, damage: str, node: str) -> None:
        """`path` belongs to `node` and shows `damage`."""
        remedy = f"remove {node} from the cluster and add a node under a new name with an empty directory"
        super().__init__(path, f"{damage}; {remedy}")
        self.node = node
        self.damage = damage


class DiskFullError(RaftError):
    """A write did not happen; what the directory held before is whole.

    Attributes:
        path: The directory.
        may_pass: The same write may succeed later; False where the data file has reached its size.
    """

    def __init__(self, path: Path, reason: str, may_pass: bool = True) -> None:
        """A write to `path` failed because of `reason`."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
        self.may_pass = may_pass

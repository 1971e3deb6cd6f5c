"""Exceptions of the package, all derived from `RaftError`."""

from __future__ import annotations

from pathlib import Path


class RaftError(Exception):
    """Base class of the package's exceptions."""


class NotLeaderError(RaftError):
    """The node is not the leader, and only the leader accepts the request.

    Attributes:
        leader: The presumed leader, or None if unknown.
    """

    def __init__(self, leader: str | None) -> None:
        """`leader` is the presumed leader, or None if unknown."""
        super().__init__(f"not the leader; known leader: {leader or 'none'}")
        self.leader = leader


class RequestRejectedError(RaftError):
    """The leader rejected the request in its current state.

    Attributes:
        reason: Explanation for operators.
    """

    def __init__(self, reason: str) -> None:
        """`reason` is an explanation for operators."""
        super().__init__(reason)
        self.reason = reason


class MembershipChangeRejectedError(RequestRejectedError):
    """The change is not valid for the membership in force.

    Attributes:
        node: The node that the change adds, promotes or removes.
        reason: Explanation for operators.
    """

    def __init__(self, node: str, reason: str) -> None:
        """`node` is the subject of the change; `reason` is an explanation for operators."""
        super().__init__(reason)
        self.node = node


class EntrySupersededError(RaftError):
    """Another entry was committed at the index of the proposed one, which is therefore never applied.

    Attributes:
        reason: What superseded it.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says what superseded the entry."""
        super().__init__(reason)
        self.reason = reason


class OutcomeUnknownError(RaftError):
    """The node cannot tell whether the proposed entry was or will be applied.

    Attributes:
        reason: Why it cannot.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says why the outcome is unknown."""
        super().__init__(reason)
        self.reason = reason


class LeaderUnreachableError(RaftError):
    """No instance responded as the leader.

    Attributes:
        attempts: Number of calls made.
        last_failure: Failure of the last call.
        outcome_unknown: Whether one of the calls may have taken effect.
    """

    def __init__(self, attempts: int, last_failure: str, outcome_unknown: bool) -> None:
        """`attempts` calls failed, the last one with `last_failure`."""
        unknown = "; an earlier attempt may have taken effect" if outcome_unknown else ""
        super().__init__(f"no leader in {attempts} attempts; last failure: {last_failure}{unknown}")
        self.attempts = attempts
        self.last_failure = last_failure
        self.outcome_unknown = outcome_unknown


class SafetyViolationError(RaftError, AssertionError):
    """A message or log violates a safety property of Raft, due to a bug in this program or a peer.

    Attributes:
        node: The node that detected the violation.
        violation: The violated property, and how it was violated.
    """

    def __init__(self, node: str, violation: str) -> None:
        """`node` detected the `violation`, a description of the violated property."""
        super().__init__(violation)
        self.node = node
        self.violation = violation


class LogIndexError(RaftError, ValueError):
    """An index is outside the log, or entries are not contiguous.

    Attributes:
        index: The invalid index.
    """

    def __init__(self, index: int, reason: str) -> None:
        """`index` is invalid because of `reason`."""
        super().__init__(f"index {index}: {reason}")
        self.index = index
        self.reason = reason


class MalformedDataError(RaftError, ValueError):
    """Bytes from a peer, a client or the log cannot be decoded.

    Attributes:
        expected: The type of data expected.
        reason: Why the bytes cannot be decoded.
    """

    def __init__(self, expected: str, reason: str) -> None:
        """The bytes cannot be decoded as `expected` because of `reason`."""
        super().__init__(f"not {expected}: {reason}")
        self.expected = expected
        self.reason = reason


class CommandRejectedError(RaftError):
    """Applying a command to the version in force would not give a valid version.

    Attributes:
        reason: Explanation for operators.
    """

    def __init__(self, reason: str) -> None:
        """`reason` is an explanation for operators."""
        super().__init__(reason)
        self.reason = reason


class UnknownNameError(CommandRejectedError):
    """A command refers to an object that is not in the configuration.

    Attributes:
        kind: The kind of object: member, group, class, tenant or limit.
        name: The unknown name.
    """

    def __init__(self, kind: str, name: str | int) -> None:
        """There is no `kind` with that `name`."""
        super().__init__(f"there is no {kind} {name}")
        self.kind = kind
        self.name = name


class InvalidNodeNameError(RaftError, ValueError):
    """A node name does not contain an address.

    Attributes:
        name: The invalid name.
    """

    def __init__(self, name: str) -> None:
        """`name` is the invalid name."""
        super().__init__(f"{name!r} is not name@host:port")
        self.name = name


class StorageError(RaftError):
    """A node's directory cannot be used.

    Attributes:
        path: The directory, or a file in it.
        reason: The problem and its remedy.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """`path` cannot be used because of `reason`."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DamagedDirectoryError(StorageError):
    """A record is missing or fails its checksum, so the node must be replaced.

    Attributes:
        node: The node that owns the directory.
        damage: Description of the damage.
    """

    def __init__(self, path: Path, damage: str, node: str) -> None:
        """`path` belongs to `node` and shows `damage`."""
        remedy = f"remove {node} from the cluster and add a node under a new name with an empty directory"
        super().__init__(path, f"{damage}; {remedy}")
        self.node = node
        self.damage = damage


class DiskFullError(RaftError):
    """A write failed and left the directory unchanged.

    Attributes:
        path: The directory.
        transient: Whether a retry may succeed; False if the data file has reached its size limit.
    """

    def __init__(self, path: Path, reason: str, transient: bool = True) -> None:
        """A write to `path` failed because of `reason`."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
        self.transient = transient

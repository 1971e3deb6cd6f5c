"""Errors of the package. All of them derive from `RaftError`."""

from __future__ import annotations


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

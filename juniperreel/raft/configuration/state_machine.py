"""The state machine: commands in the order of the log, versions out. Deterministic and free of I/O.

A command names the version that it was made against, where its author wants that (compare and set), and its
client's sequence number, so that a retry after a lost response is applied once (dissertation, 6.3).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from immutables import Map

from juniperreel.raft.configuration import validation
from juniperreel.raft.configuration.commands import (
    Command,
    ConfigurationChange,
    RemoveGroup,
    RemoveMember,
    SetClass,
    SetGroup,
    SetLimit,
    SetMember,
    SetState,
    SetTenant,
    decode_command,
)
from juniperreel.raft.configuration.model import (
    EMPTY,
    ClientSession,
    Configuration,
    decode,
    encode,
    encode_delta,
)
from juniperreel.raft.errors import CommandRejectedError, UnknownNameError

MAX_CLIENTS = 1000
MAX_HISTORY = 64  # versions kept for deltas to watchers
MAX_REPORTED_VIOLATIONS = 10

Key = TypeVar("Key", str, int)
Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a command: the version in force after it, and why it was rejected, if it was."""

    version: int
    rejection: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """What a watcher needs to hold the version in force: all of it if `complete`, otherwise a delta."""

    complete: bool
    data: bytes


def apply_change(configuration: Configuration, change: ConfigurationChange) -> Configuration:
    """The configuration after one change, not validated. Raises UnknownNameError."""
    replace = msgspec.structs.replace
    members = configuration.members
    groups = configuration.groups
    match change:
        case SetMember(name, member):
            return replace(configuration, members=members.set(name, member))
        case SetState(name, state, started_us):
            member = _existing(members, name, "member")
            member = replace(member, state=state, started_us=max(started_us, member.started_us))
            return replace(configuration, members=members.set(name, member))
        case RemoveMember(name):
            _existing(members, name, "member")
            return replace(configuration, members=members.delete(name))
        case SetGroup(number, group):
            return replace(configuration, groups=groups.set(number, group))
        case RemoveGroup(number):
            _existing(groups, number, "group")
            return replace(configuration, groups=groups.delete(number))
        case SetClass(name, info):
            return replace(configuration, classes=_with(configuration.classes, name, info, "class"))
        case SetTenant(name, tenant):
            return replace(configuration, tenants=_with(configuration.tenants, name, tenant, "tenant"))
        case SetLimit(name, value):
            return replace(configuration, limits=_with(configuration.limits, name, value, "limit"))


def _existing(section: Map[Key, Value], key: Key, kind: str) -> Value:
    """The value of a key. Raises UnknownNameError if it is not there."""
    if key not in section:
        raise UnknownNameError(kind, key)
    return section[key]


def _with(section: Map[Key, Value], key: Key, value: Value | None, kind: str) -> Map[Key, Value]:
    """The section with a key set, or without it for None. Raises UnknownNameError."""
    if value is not None:
        return section.set(key, value)
    _existing(section, key, kind)
    return section.delete(key)


def validated(configuration: Configuration, command: Command) -> Configuration:
    """The next version; the same on every node. Raises CommandRejectedError."""
    expected_version = command.expected_version
    if expected_version is not None and expected_version != configuration.version:
        reason = f"made against version {expected_version}; version {configuration.version} is in force"
        raise CommandRejectedError(reason)
    changed = configuration
    for change in command.changes:
        changed = apply_change(changed, change)
    violations = validation.find_violations(changed)
    violations += validation.find_transition_violations(configuration, changed)
    if violations:
        raise CommandRejectedError("; ".join(violations[:MAX_REPORTED_VIOLATIONS]))
    return msgspec.structs.replace(changed, version=configuration.version + 1)


class ConfigurationStateMachine:
    """Applies commands, and keeps some versions for deltas.

    Attributes:
        current: The version in force.
    """

    def __init__(self) -> None:
        """Starts with the empty version 0."""
        self.current = EMPTY
        self._history: OrderedDict[int, Configuration] = OrderedDict({0: EMPTY})

    def previous_outcome(self, command: Command) -> Outcome | None:
        """The outcome of this command if it was applied before, a rejection for an older one, else None."""
        session = self.current.clients.get(command.client)
        if session is None or command.sequence > session.sequence:
            return None
        if command.sequence < session.sequence:
            rejection = f"sequence {command.sequence} is older than {session.sequence}"
            return Outcome(self.current.version, rejection)
        return Outcome(session.version, session.rejection)

    def rejection_of(self, command: Command) -> str:
        """Why the command would be rejected now; empty if it would not be."""
        try:
            validated(self.current, command)
        except CommandRejectedError as error:
            return error.reason
        return ""

    def apply(self, data: bytes) -> Outcome:
        """Apply one COMMAND entry."""
        try:
            command = decode_command(data)
        except ValueError as error:
            # A program of another version accepted it into the log; every node skips it.
            return Outcome(self.current.version, str(error))
        previous = self.previous_outcome(command)
        if previous is not None:
            return previous
        rejection = ""
        configuration = self.current
        try:
            configuration = validated(configuration, command)
        except CommandRejectedError as error:
            rejection = error.reason
        outcome = Outcome(configuration.version, rejection)
        session = ClientSession(command.sequence, outcome.version, rejection)
        clients = _with_session(configuration.clients, command.client, session)
        self.current = msgspec.structs.replace(configuration, clients=clients)
        self._remember_version()
        return outcome

    def _remember_version(self) -> None:
        self._history[self.current.version] = self.current
        while len(self._history) > MAX_HISTORY:
            self._history.popitem(last=False)

    def update_since(self, version: int) -> ConfigurationUpdate:
        """What a watcher that holds `version` needs to hold the version in force."""
        old = self._history.get(version)
        if old is None:
            return ConfigurationUpdate(complete=True, data=encode(self.current, clients=False))
        return ConfigurationUpdate(complete=False, data=encode_delta(old, self.current))

    def snapshot(self) -> bytes:
        """The state as bytes, the same on every node."""
        return encode(self.current, clients=True)

    def restore(self, data: bytes) -> None:
        """Start again from a snapshot; empty bytes are version 0. Raises MalformedDataError."""
        self.current = decode(data) if data else EMPTY
        self._history = OrderedDict({self.current.version: self.current})


def _with_session(
    clients: Map[str, ClientSession], name: str, session: ClientSession
) -> Map[str, ClientSession]:
    """The sessions with one set. Past the limit the one of the oldest version, first by name, is dropped."""
    clients = clients.set(name, session)
    if len(clients) > MAX_CLIENTS:
        others = ((other.version, other_name) for other_name, other in clients.items() if other_name != name)
        _, oldest = min(others)
        clients = clients.delete(oldest)
    return clients

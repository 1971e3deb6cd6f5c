"""The state machine: applies commands in log order to produce versions. Deterministic, no I/O.

A command may name the version that it expects to be in force (compare-and-set). It carries its client's
sequence number, so that a retry after a lost response is applied only once (dissertation, 6.3).
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
MAX_HISTORY = 64  # versions retained for deltas to watchers
MAX_REPORTED_VIOLATIONS = 10

Key = TypeVar("Key", str, int)
Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a command: the version in force after it, and the reason if it was rejected."""

    version: int
    rejection: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Update of a watcher to the version in force: the whole version if `complete`, otherwise a delta."""

    complete: bool
    data: bytes


def apply_change(configuration: Configuration, change: ConfigurationChange) -> Configuration:
    """Apply one change without validating the result. Raises UnknownNameError."""
    replace = msgspec.structs.replace
    members = configuration.members
    groups = configuration.groups
    match change:
        case SetMember(name, member):
            return replace(configuration, members=members.set(name, member))
        case SetState(name, state, started_us):
            member = _require_existing(members, name, "member")
            member = replace(member, state=state, started_us=max(started_us, member.started_us))
            return replace(configuration, members=members.set(name, member))
        case RemoveMember(name):
            _require_existing(members, name, "member")
            return replace(configuration, members=members.delete(name))
        case SetGroup(number, group):
            return replace(configuration, groups=groups.set(number, group))
        case RemoveGroup(number):
            _require_existing(groups, number, "group")
            return replace(configuration, groups=groups.delete(number))
        case SetClass(name, info):
            return replace(configuration, classes=_set_or_remove(configuration.classes, name, info, "class"))
        case SetTenant(name, tenant):
            return replace(
                configuration, tenants=_set_or_remove(configuration.tenants, name, tenant, "tenant")
            )
        case SetLimit(name, value):
            return replace(configuration, limits=_set_or_remove(configuration.limits, name, value, "limit"))


def _require_existing(section: Map[Key, Value], key: Key, kind: str) -> Value:
    """The value of a key. Raises UnknownNameError if the key does not exist."""
    if key not in section:
        raise UnknownNameError(kind, key)
    return section[key]


def _set_or_remove(section: Map[Key, Value], key: Key, value: Value | None, kind: str) -> Map[Key, Value]:
    """Set a key, or remove it if the value is None. Raises UnknownNameError on removal of an unknown key."""
    if value is not None:
        return section.set(key, value)
    _require_existing(section, key, kind)
    return section.delete(key)


def next_version(configuration: Configuration, command: Command) -> Configuration:
    """Apply a command and validate the result; deterministic. Raises CommandRejectedError."""
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
    """Applies commands, and retains recent versions for deltas.

    Attributes:
        current: The version in force.
    """

    def __init__(self) -> None:
        """Starts with the empty version 0."""
        self.current = EMPTY
        self._history: OrderedDict[int, Configuration] = OrderedDict({0: EMPTY})

    def previous_outcome(self, command: Command) -> Outcome | None:
        """The recorded outcome of a retried command, a rejection of an older one, or None for a new one."""
        session = self.current.clients.get(command.client)
        if session is None or command.sequence > session.sequence:
            return None
        if command.sequence < session.sequence:
            rejection = f"sequence {command.sequence} is older than {session.sequence}"
            return Outcome(self.current.version, rejection)
        return Outcome(session.version, session.rejection)

    def rejection_of(self, command: Command) -> str:
        """The reason why a command would be rejected now; empty if it is valid."""
        try:
            next_version(self.current, command)
        except CommandRejectedError as error:
            return error.reason
        return ""

    def apply(self, data: bytes) -> Outcome:
        """Apply one COMMAND entry."""
        try:
            command = decode_command(data)
        except ValueError as error:
            # A node running another version accepted it into the log; every node skips it.
            return Outcome(self.current.version, str(error))
        previous = self.previous_outcome(command)
        if previous is not None:
            return previous
        rejection = ""
        configuration = self.current
        try:
            configuration = next_version(configuration, command)
        except CommandRejectedError as error:
            rejection = error.reason
        outcome = Outcome(configuration.version, rejection)
        session = ClientSession(command.sequence, outcome.version, rejection)
        clients = _set_session(configuration.clients, command.client, session)
        self.current = msgspec.structs.replace(configuration, clients=clients)
        self._record_version()
        return outcome

    def _record_version(self) -> None:
        self._history[self.current.version] = self.current
        while len(self._history) > MAX_HISTORY:
            self._history.popitem(last=False)

    def update_since(self, version: int) -> ConfigurationUpdate:
        """The update from `version` to the version in force."""
        old = self._history.get(version)
        if old is None:
            return ConfigurationUpdate(complete=True, data=encode(self.current, clients=False))
        return ConfigurationUpdate(complete=False, data=encode_delta(old, self.current))

    def snapshot(self) -> bytes:
        """Encode the state deterministically."""
        return encode(self.current, clients=True)

    def restore(self, data: bytes) -> None:
        """Restore the state from a snapshot; empty data is version 0. Raises MalformedDataError."""
        self.current = decode(data) if data else EMPTY
        self._history = OrderedDict({self.current.version: self.current})


def _set_session(
    clients: Map[str, ClientSession], name: str, session: ClientSession
) -> Map[str, ClientSession]:
    """Set a session. Beyond `MAX_CLIENTS`, evict the one with the oldest version, ties by name."""
    clients = clients.set(name, session)
    if len(clients) > MAX_CLIENTS:
        others = ((other.version, other_name) for other_name, other in clients.items() if other_name != name)
        _, oldest = min(others)
        clients = clients.delete(oldest)
    return clients

"""Configuration versions as persistent maps: a new version shares its unchanged parts with the old one.

No I/O. Versions are immutable, as proxies may still use an old version while a new one is created. Renamed
fields keep their stored names through `rename`, since versions are stored in snapshots and in the log.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
from immutables import Map

from juniperreel.raft.errors import MalformedDataError

FORMAT = 1
CONFIGURATION = "a configuration"
DELTA = "a delta"


class MemberInfo(msgspec.Struct, frozen=True):
    """A database member.

    `state` is up, draining or gone. `started_us` is the wall-clock time of its start in microseconds, 0 if
    unknown.
    """

    group: int
    address: str
    port: int
    zone: int = 0
    kind: int = 0
    size: float = 1.0
    state: str = "up"
    started_us: int = 0


class GroupInfo(msgspec.Struct, frozen=True):
    """A group's epoch and its primary, or None if it has no primary."""

    epoch: int
    primary: str | None


class ClassInfo(
    msgspec.Struct,
    frozen=True,
    rename={
        "idempotency": "effect",
        "key_retention_us": "memory_us",
        "latency_objective_us": "aim_us",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
    },
):
    """A request class, as in the settings file. Durations are in microseconds."""

    idempotency: str
    key_scope: str
    key_retention_us: int
    consistency: str
    lag_us: int
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float


class TenantInfo(msgspec.Struct, frozen=True):
    """A tenant's share of the capacity, from 0 to 1, and its quota in requests per second."""

    share: float
    quota: float = 0.0


class ClientSession(msgspec.Struct, frozen=True, rename={"rejection": "refusal"}):
    """A client's last command and its outcome, used to deduplicate retries."""

    sequence: int
    version: int
    rejection: str


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration. `version` counts the accepted commands."""

    version: int
    members: Map[str, MemberInfo]
    groups: Map[int, GroupInfo]
    classes: Map[str, ClassInfo]
    tenants: Map[str, TenantInfo]
    limits: Map[str, int]
    clients: Map[str, ClientSession]

    def members_of_group(self, group: int) -> Iterator[tuple[str, MemberInfo]]:
        """Names and members of a group."""
        return ((name, member) for name, member in self.members.items() if member.group == group)


EMPTY = Configuration(0, Map(), Map(), Map(), Map(), Map(), Map())


class EncodedConfiguration(msgspec.Struct, frozen=True):
    """Encoded form of a version in snapshots and on the wire."""

    format: int
    version: int
    members: dict[str, MemberInfo]
    groups: dict[int, GroupInfo]
    classes: dict[str, ClassInfo]
    tenants: dict[str, TenantInfo]
    limits: dict[str, int]
    clients: dict[str, ClientSession] = {}


class Delta(msgspec.Struct, frozen=True):
    """Difference from version `since` to a later one: new or changed values, and None for removed keys."""

    format: int
    since: int
    version: int
    members: dict[str, MemberInfo | None]
    groups: dict[int, GroupInfo | None]
    classes: dict[str, ClassInfo | None]
    tenants: dict[str, TenantInfo | None]
    limits: dict[str, int | None]


SECTIONS = ("members", "groups", "classes", "tenants", "limits")


def sorted_by_key(mapping: Any) -> dict[Any, Any]:
    """The mapping sorted by key.

    Persistent maps are unordered, and the encoded bytes must be identical on every node.
    """
    return {key: mapping[key] for key in sorted(mapping)}


def encode(configuration: Configuration, *, clients: bool) -> bytes:
    """Encode a version deterministically. `clients` adds the client sessions, for snapshots only."""
    sections = {name: sorted_by_key(getattr(configuration, name)) for name in SECTIONS}
    sessions = sorted_by_key(configuration.clients) if clients else {}
    return msgspec.msgpack.encode(
        EncodedConfiguration(FORMAT, configuration.version, **sections, clients=sessions)
    )


def decode(data: bytes) -> Configuration:
    """Decode a version. Raises MalformedDataError for malformed data or an unsupported format."""
    try:
        encoded = msgspec.msgpack.decode(data, type=EncodedConfiguration)
    except msgspec.DecodeError as error:
        raise MalformedDataError(CONFIGURATION, str(error)) from error
    if encoded.format != FORMAT:
        raise MalformedDataError(
            CONFIGURATION, f"configuration format {encoded.format}; this program reads {FORMAT}"
        )
    sections = {name: Map(getattr(encoded, name)) for name in SECTIONS}
    return Configuration(encoded.version, **sections, clients=Map(encoded.clients))


def encode_delta(old: Configuration, new: Configuration) -> bytes:
    """Encode the delta from one version to a later one."""
    sections: dict[str, dict[Any, Any]] = {}
    for name in SECTIONS:
        before = getattr(old, name)
        after = getattr(new, name)
        changed = {key: after[key] for key in sorted(after) if before.get(key) != after[key]}
        removed = {key: None for key in sorted(before) if key not in after}
        sections[name] = changed | removed
    return msgspec.msgpack.encode(Delta(FORMAT, old.version, new.version, **sections))


def apply_delta(old: Configuration, data: bytes) -> Configuration:
    """Apply an encoded delta. Raises MalformedDataError if it is malformed or is not based on `old`."""
    try:
        delta = msgspec.msgpack.decode(data, type=Delta)
    except msgspec.DecodeError as error:
        raise MalformedDataError(DELTA, str(error)) from error
    if delta.format != FORMAT or delta.since != old.version or delta.version <= old.version:
        raise MalformedDataError(
            DELTA, f"one from {delta.since} to {delta.version} does not fit version {old.version}"
        )
    sections = {name: _updated(getattr(old, name), getattr(delta, name)) for name in SECTIONS}
    return Configuration(delta.version, **sections, clients=old.clients)


def _updated(section: Map[Any, Any], changes: dict[Any, Any]) -> Map[Any, Any]:
    """A section with the changes applied; None removes a key."""
    with section.mutate() as mutation:
        for key, value in changes.items():
            if value is not None:
                mutation[key] = value
            elif key in mutation:
                del mutation[key]
        updated: Map[Any, Any] = mutation.finish()
    return updated

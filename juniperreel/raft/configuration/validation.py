"""Validation of configuration versions; messages name the rule that is violated. No I/O.

Versions are validated when a command is proposed and again when it is applied, since another command may
have been applied in between.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from juniperreel.raft.configuration.model import ClassInfo, Configuration, GroupInfo, MemberInfo

MEMBER_UP = "up"
MEMBER_DRAINING = "draining"
MEMBER_DEPARTED = "gone"
MEMBER_STATES = (MEMBER_UP, MEMBER_DRAINING, MEMBER_DEPARTED)
IDEMPOTENT = "repeatable"
KEYED = "keyed"
NON_IDEMPOTENT = "once"
IDEMPOTENCY_VALUES = (IDEMPOTENT, KEYED, NON_IDEMPOTENT)
KEY_SCOPES = ("all", "zone", "group")
WRITE = "write"
BOUNDED = "bounded"
CONSISTENCIES = (WRITE, "fresh", "session", BOUNDED, "any")
MAX_MEMBERS = 4096
MAX_GROUPS = 65536
MAX_CLASSES = 256
MAX_NAME = 100
MAX_PORT = 65535
MAX_SIZE = 1e6  # exclusive; size of a member relative to the others
MAX_SHARES = 1.0005  # tolerates the rounding of shares that add up to 1
MAX_QUOTED_CHARS = 20  # of an invalid name in a message


class LimitRule(NamedTuple):
    """The minimum value of a limit, and the number of the rule that requires it."""

    minimum: int
    rule: int


LIMITS = {
    "attempts": LimitRule(1, 2),
    "drain-grace-us": LimitRule(1, 3),
    "cold-span-us": LimitRule(1, 4),
    "overload-span-us": LimitRule(1, 4),
    "refusal-wait-us": LimitRule(0, 1),
    "edges": LimitRule(1, 4),
}


def find_violations(configuration: Configuration) -> list[str]:
    """All violations in a version, as messages; empty if it is valid."""
    return sorted(
        [
            *_size_violations(configuration),
            *_all_member_violations(configuration),
            *_group_violations(configuration),
            *_all_class_violations(configuration),
            *_tenant_violations(configuration),
            *_limit_violations(configuration),
        ]
    )


def _size_violations(configuration: Configuration) -> Iterator[str]:
    if (
        len(configuration.members) > MAX_MEMBERS
        or len(configuration.groups) > MAX_GROUPS
        or len(configuration.classes) > MAX_CLASSES
    ):
        yield "there are more members, groups or classes than this program holds"


def _all_member_violations(configuration: Configuration) -> Iterator[str]:
    for name, member in configuration.members.items():
        yield from _member_violations(configuration, name, member)


def _member_violations(configuration: Configuration, name: str, member: MemberInfo) -> Iterator[str]:
    if not name or len(name) > MAX_NAME:
        yield f"member {name[:MAX_QUOTED_CHARS]!r}: a name has 1 to {MAX_NAME} characters"
    if member.state not in MEMBER_STATES:
        yield f"member {name}: {member.state!r} is none of {', '.join(MEMBER_STATES)} (rule 3)"
    if (
        not 0 < member.port <= MAX_PORT
        or not member.address
        or not 0 < member.size < MAX_SIZE
        or member.group < 0
    ):
        yield f"member {name}: address, port, size or group is out of range"
    if member.group not in configuration.groups:
        yield f"member {name}: there is no group {member.group}"


def _group_violations(configuration: Configuration) -> Iterator[str]:
    for number, group in configuration.groups.items():
        if group.primary is None:
            continue
        primary = configuration.members.get(group.primary)
        if primary is None or primary.group != number:
            yield f"group {number}: {group.primary} is not one of its members (rule 5)"
        elif primary.state == MEMBER_DEPARTED:
            yield f"group {number}: its primary {group.primary} is gone (rule 3)"


def _all_class_violations(configuration: Configuration) -> Iterator[str]:
    for name, info in configuration.classes.items():
        for violation in _class_violations(info):
            yield f"class {name}: {violation}"


def _class_violations(info: ClassInfo) -> Iterator[str]:
    if (
        info.idempotency not in IDEMPOTENCY_VALUES
        or info.key_scope not in KEY_SCOPES
        or info.consistency not in CONSISTENCIES
    ):
        yield "effect, scope or consistency is not known"
    if info.idempotency == KEYED and info.key_retention_us <= 0:
        yield "members that remember a key for no time see no repeat (rule 2)"
    if info.idempotency != IDEMPOTENT and info.consistency != WRITE:
        yield "what is not safe to repeat writes; only a primary may take it (rule 2)"
    if (info.consistency == BOUNDED) != (info.lag_us > 0):
        yield "bounded, and nothing else, has an age (rule 5)"
    if not 0 < info.latency_objective_us <= info.deadline_us:
        yield "the aim lies above 0 and not beyond the deadline (rule 1)"
    if info.priority_weight <= 0 or not 0 <= info.late_priority_weight <= 1:
        yield "worth is above 0, late worth a part"


def _tenant_violations(configuration: Configuration) -> Iterator[str]:
    if sum(tenant.share for tenant in configuration.tenants.values()) > MAX_SHARES:
        yield "the tenants' shares add up to more than all"
    for name, tenant in configuration.tenants.items():
        if not 0 <= tenant.share <= 1:
            yield f"tenant {name}: a share lies between 0 and 1"


def _limit_violations(configuration: Configuration) -> Iterator[str]:
    for name, value in configuration.limits.items():
        limit = LIMITS.get(name)
        if limit is None:
            yield f"limit {name}: there are {', '.join(LIMITS)}"
        elif value < limit.minimum:
            yield f"limit {name}: at least {limit.minimum} (rule {limit.rule})"


def find_transition_violations(old: Configuration, new: Configuration) -> list[str]:
    """All violations in the transition from one version to the next; empty if it is valid."""
    violations: list[str] = []
    for number, before in old.groups.items():
        violations += _group_transition_violations(old, new, number, before)
    for name, member in old.members.items():
        violations += _member_transition_violations(new, name, member)
    return sorted(violations)


def _group_transition_violations(
    old: Configuration, new: Configuration, number: int, before: GroupInfo
) -> Iterator[str]:
    after = new.groups.get(number)
    if after is None:
        if any(old.members_of_group(number)):
            yield f"group {number} still has members"
    elif after.epoch < before.epoch:
        yield f"group {number}: epoch {after.epoch} is older than {before.epoch} (rule 5)"
    elif after.primary not in (before.primary, None) and after.epoch == before.epoch:
        yield f"group {number}: another primary needs a newer epoch than {before.epoch} (rule 5)"


def _member_transition_violations(new: Configuration, name: str, before: MemberInfo) -> Iterator[str]:
    after = new.members.get(name)
    if after is None:
        if before.state != MEMBER_DEPARTED:
            yield f"member {name}: {before.state} members drain and go before they are removed (rule 3)"
        return
    rejoined = before.state == MEMBER_DEPARTED and after.state != MEMBER_DEPARTED
    if rejoined and after.started_us <= before.started_us:
        yield f"member {name}: comes back without a newer start, as if it were warm (rule 4)"

"""What a version must satisfy, with the rule that it would break otherwise. Free of I/O.

Asked when a change is proposed and again when it is applied: in between another one may have come first.
"""

from __future__ import annotations

from juniperreel.raft.configuration.model import ClassInfo, Configuration

STATES = ("up", "draining", "gone")
EFFECTS = ("repeatable", "keyed", "once")
SCOPES = ("all", "zone", "group")
CONSISTENCIES = ("write", "fresh", "session", "bounded", "any")
MAX_MEMBERS = 4096
MAX_GROUPS = 65536
MAX_CLASSES = 256
MAX_NAME = 100
LIMITS = {  # name: least value, and the rule
    "attempts": (1, 2),
    "drain-grace-us": (1, 3),
    "cold-span-us": (1, 4),
    "overload-span-us": (1, 4),
    "refusal-wait-us": (0, 1),
    "edges": (1, 4),
}


def problems(c: Configuration) -> list[str]:
    """Everything that is wrong with a version, in words; empty if nothing is."""
    found: list[str] = []
    if len(c.members) > MAX_MEMBERS or len(c.groups) > MAX_GROUPS or len(c.classes) > MAX_CLASSES:
        found.append("there are more members, groups or classes than this program holds")
    for name, m in c.members.items():
        if not name or len(name) > MAX_NAME:
            found.append(f"member {name[:20]!r}: a name has 1 to {MAX_NAME} characters")
        if m.state not in STATES:
            found.append(f"member {name}: {m.state!r} is none of {', '.join(STATES)} (rule 3)")
        if not 0 < m.port < 65536 or not m.address or not 0 < m.size < 1e6 or m.group < 0:
            found.append(f"member {name}: address, port, size or group is out of range")
        if m.group not in c.groups:
            found.append(f"member {name}: there is no group {m.group}")
    for number, g in c.groups.items():
        if g.primary is None:
            continue
        p = c.members.get(g.primary)
        if p is None or p.group != number:
            found.append(f"group {number}: {g.primary} is not one of its members (rule 5)")
        elif p.state == "gone":
            found.append(f"group {number}: its primary {g.primary} is gone (rule 3)")
    for name, k in c.classes.items():
        found += [f"class {name}: {text}" for text in class_problems(k)]
    if sum(t.share for t in c.tenants.values()) > 1.0005:
        found.append("the tenants' shares add up to more than all")
    found += [
        f"tenant {n}: a share lies between 0 and 1" for n, t in c.tenants.items() if not 0 <= t.share <= 1
    ]
    for name, value in c.limits.items():
        if name not in LIMITS:
            found.append(f"limit {name}: there are {', '.join(LIMITS)}")
        elif value < LIMITS[name][0]:
            found.append(f"limit {name}: at least {LIMITS[name][0]} (rule {LIMITS[name][1]})")
    return sorted(found)


def class_problems(k: ClassInfo) -> list[str]:
    found = []
    if k.effect not in EFFECTS or k.key_scope not in SCOPES or k.consistency not in CONSISTENCIES:
        found.append("effect, scope or consistency is not known")
    if k.effect == "keyed" and k.memory_us <= 0:
        found.append("members that remember a key for no time see no repeat (rule 2)")
    if k.effect != "repeatable" and k.consistency != "write":
        found.append("what is not safe to repeat writes; only a primary may take it (rule 2)")
    if (k.consistency == "bounded") != (k.lag_us > 0):
        found.append("bounded, and nothing else, has an age (rule 5)")
    if not 0 < k.aim_us <= k.deadline_us:
        found.append("the aim lies above 0 and not beyond the deadline (rule 1)")
    if k.worth <= 0 or not 0 <= k.late_worth <= 1:
        found.append("worth is above 0, late worth a part")
    return found


def steps(old: Configuration, new: Configuration) -> list[str]:
    """What must not happen from one version to the next, whatever both are alone."""
    found = []
    for number, before in old.groups.items():
        after = new.groups.get(number)
        if after is None:
            if any(True for _ in old.of_group(number)):
                found.append(f"group {number} still has members")
        elif after.epoch < before.epoch:
            found.append(f"group {number}: epoch {after.epoch} is older than {before.epoch} (rule 5)")
        elif after.primary != before.primary and after.primary is not None and after.epoch == before.epoch:
            found.append(f"group {number}: another primary needs a newer epoch than {before.epoch} (rule 5)")
    for name, m in old.members.items():
        later = new.members.get(name)
        if later is None and m.state != "gone":
            found.append(f"member {name}: {m.state} members drain and go before they are removed (rule 3)")
        elif (
            later is not None
            and m.state == "gone"
            and later.state != "gone"
            and later.started_us <= m.started_us
        ):
            found.append(f"member {name}: comes back without a newer start, as if it were warm (rule 4)")
    return sorted(found)

"""Checks on values that are well formed one by one but make no sense, or break a rule, together.

Each check names the rule that would be broken; the table in docs/operate/edge.md follows this file.
"""

from __future__ import annotations

from collections.abc import Iterator

from juniperreel.settings.errors import Problem
from juniperreel.settings.schema import FileValues, SectionValues

MAX_WORKERS = 128  # of one edge
MAX_GROUPS = 65536
MAX_ATTEMPTS = 100
MIN_ANSWER_MARGIN_US = 1_000
MAX_TOTAL_SHARE = 1.0005  # of all tenants together; what is above 1 is rounding
MIN_LIMITS = {"open-requests": 1, "member-attempts": 1, "connections": 1, "message": 1024}
POSITIVE_LIMITS = ("connect-timeout", "probe-timeout", "stop-within")
US_PER_MS = 1000


def check_file(file: FileValues) -> Iterator[Problem]:
    """All problems of a file whose directives are well formed, but for those of MySQL."""
    edge = file["edge"][0]
    rules = file["rules"][0]
    limits = file["limits"][0]
    token = file["token"][0]
    yield from check_edge(edge)
    yield from check_hosts(file["hosts"][0])
    for request_class in file["class"]:
        yield from check_effect(request_class, rules)
        yield from check_consistency(request_class, token)
        yield from check_deadline(request_class, rules)
    yield from check_rules(rules, limits)
    yield from check_slow_start(rules)
    yield from check_limits(limits)
    yield from check_tenants(file["tenant"])


def check_edge(edge: SectionValues) -> Iterator[Problem]:
    """Counts within their bounds, and addresses that differ."""
    if edge["edges"] < 1:
        yield edge.problem("edges", "edges: at least one, this one, shares the endpoints", 4)
    if not 1 <= edge["workers"] <= MAX_WORKERS:
        yield edge.problem("workers", f"workers: 1 to {MAX_WORKERS}", 4)
    if not 1 <= edge["groups"] <= MAX_GROUPS:
        yield edge.problem("groups", f"groups: 1 to {MAX_GROUPS}")
    if edge["metrics"] is not None and edge["metrics"] == edge["listen"] and edge["listen"].port:
        yield edge.problem("metrics", "metrics and listen name the same address")


def check_hosts(hosts: SectionValues) -> Iterator[Problem]:
    """Exactly one kind of discovery."""
    if bool(hosts["source"]) == bool(hosts["instance"]):
        reason = "either a source, the host list, or instances of the configuration are needed"
        yield hosts.problem("source", reason)


def class_problem(
    request_class: SectionValues, directive: str, reason: str, rule: int | None = None
) -> Problem:
    """A problem with a directive of a class, whose reason begins with the class's name."""
    return request_class.problem(directive, f"{request_class.name}: {reason}", rule)


def check_effect(request_class: SectionValues, rules: SectionValues) -> Iterator[Problem]:
    """The effect of a class fits its consistency, and a keyed one says how its key is remembered."""
    effect, *key_options = request_class["effect"]
    writes = request_class["consistency"][0] == "write"
    if effect == "keyed" and len(key_options) < 2:
        reason = "keyed needs the scope of the key and how long endpoints remember it"
        yield class_problem(request_class, "effect", reason, 2)
    if effect == "keyed" and len(key_options) == 2 and not key_options[1]:
        reason = "endpoints that remember a key for no time see no repeat"
        yield class_problem(request_class, "effect", reason, 2)
    if effect != "keyed" and key_options:
        reason = f"{effect} has no key; a scope or memory has no meaning"
        yield class_problem(request_class, "effect", reason)
    if effect in ("keyed", "once") and not writes:
        reason = f"a class whose effect is {effect} writes; only a primary may take it"
        yield class_problem(request_class, "consistency", reason, 2)
    if writes and effect == "repeatable" and rules["second-copies"]:
        yield class_problem(request_class, "effect", "two copies of a write would be out at once", 2)


def check_consistency(request_class: SectionValues, token: SectionValues) -> Iterator[Problem]:
    """A staleness bound where one is needed, and one that clocks can measure."""
    consistency, *bounds_us = request_class["consistency"]
    if (consistency == "bounded") != bool(bounds_us):
        reason = "bounded, and nothing else, takes the age its data may have"
        yield class_problem(request_class, "consistency", reason, 5)
    if consistency == "bounded" and bounds_us and bounds_us[0] <= 2 * token["skew"]:
        bound_ms = bounds_us[0] / US_PER_MS
        skew_ms = token["skew"] / US_PER_MS
        reason = f"an age of {bound_ms:g} ms cannot be measured with clocks {skew_ms:g} ms apart"
        yield class_problem(request_class, "consistency", reason, 5)


def check_deadline(request_class: SectionValues, rules: SectionValues) -> Iterator[Problem]:
    """The latency objective and the answer margin leave time before the deadline; the weight is positive."""
    if not 0 < request_class["aim"] <= request_class["deadline"]:
        yield class_problem(request_class, "aim", "the aim lies above 0 and not beyond the deadline", 1)
    if request_class["deadline"] <= 2 * rules["answer-margin"]:
        yield class_problem(request_class, "deadline", "the answer margin takes half of it or more", 1)
    if request_class["worth"] <= 0:
        yield class_problem(request_class, "worth", "a class that is worth nothing is always rejected")


def check_rules(rules: SectionValues, limits: SectionValues) -> Iterator[Problem]:
    """Attempts, deadlines, draining and what endpoints do with stale reads."""
    if not 1 <= rules["attempts"] <= MAX_ATTEMPTS:
        yield rules.problem("attempts", f"attempts: 1 to {MAX_ATTEMPTS}")
    if rules["answer-margin"] < MIN_ANSWER_MARGIN_US:
        reason = "answer-margin: an answer needs a millisecond or more on its way back"
        yield rules.problem("answer-margin", reason, 1)
    if not rules["cancelling"] and rules["second-copies"]:
        reason = "second copies that cannot be withdrawn go on after the answer"
        yield rules.problem("second-copies", reason, 1)
    if rules["drain-grace"] <= 2 * limits["connect-timeout"]:
        reason = "drain-grace: a connection opened in its first half may carry work after its end"
        yield rules.problem("drain-grace", reason, 3)
    guard, *waits_us = rules["members-check"]
    if (guard == "wait") != bool(waits_us):
        reason = "members-check: wait, and nothing else, takes how long endpoints wait"
        yield rules.problem("members-check", reason)


def check_slow_start(rules: SectionValues) -> Iterator[Problem]:
    """Slow start has a beginning and a duration; overload is above capacity."""
    if not rules["cold-from"]:
        reason = "cold-from: an endpoint that starts with nothing can be sent nothing"
        yield rules.problem("cold-from", reason, 4)
    if not rules["cold-span"]:
        yield rules.problem("cold-span", "cold-span: endpoints that start are cold for some time", 4)
    if rules["fall-multiple"] < 1:
        reason = "fall-multiple: below 1 an endpoint fails at its own capacity"
        yield rules.problem("fall-multiple", reason, 4)
    if not rules["overload-span"]:
        yield rules.problem("overload-span", "overload-span: must be above 0", 4)


def check_limits(limits: SectionValues) -> Iterator[Problem]:
    """Limits above their minimum, and time-outs above 0."""
    for directive, minimum in MIN_LIMITS.items():
        if limits[directive] < minimum:
            yield limits.problem(directive, f"{directive}: at least {minimum}")
    for directive in POSITIVE_LIMITS:
        if not limits[directive]:
            yield limits.problem(directive, f"{directive}: must be above 0", 1)


def check_tenants(tenants: list[SectionValues]) -> Iterator[Problem]:
    """Shares that do not exceed the whole."""
    total_share = sum(tenant["share"] for tenant in tenants)
    if total_share > MAX_TOTAL_SHARE:
        yield tenants[-1].problem("share", f"the tenants' shares add up to {total_share:.0%}")

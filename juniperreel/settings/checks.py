"""Semantic checks on the settings of an edge, after each value has been parsed.

Each problem names the service rule that the settings would break, if any; the table in docs/operate/edge.md
follows this file.
"""

from __future__ import annotations

from collections.abc import Iterator

from juniperreel.settings.errors import Problem
from juniperreel.settings.schema import FileValues, SectionValues

MAX_WORKERS = 128  # per edge
MAX_GROUPS = 65536
MAX_ATTEMPTS = 100
MIN_ANSWER_MARGIN_US = 1_000
MAX_TOTAL_SHARE = 1.0005  # over all tenants; allows for rounding above 1
MIN_LIMITS = {"open-requests": 1, "member-attempts": 1, "connections": 1, "message": 1024}
POSITIVE_LIMITS = ("connect-timeout", "probe-timeout", "stop-within")
US_PER_MS = 1000


def check_file(file: FileValues) -> Iterator[Problem]:
    """Return all problems of a file whose directives are well formed, except those of MySQL."""
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
    """Check that counts are within bounds and addresses differ."""
    if edge["edges"] < 1:
        yield edge.problem("edges", "edges: must be at least 1; this edge is included", 4)
    if not 1 <= edge["workers"] <= MAX_WORKERS:
        yield edge.problem("workers", f"workers: must be 1 to {MAX_WORKERS}", 4)
    if not 1 <= edge["groups"] <= MAX_GROUPS:
        yield edge.problem("groups", f"groups: must be 1 to {MAX_GROUPS}")
    if edge["metrics"] is not None and edge["metrics"] == edge["listen"] and edge["listen"].port:
        yield edge.problem("metrics", "metrics and listen are the same address")


def check_hosts(hosts: SectionValues) -> Iterator[Problem]:
    """Check that exactly one discovery mechanism is configured."""
    if bool(hosts["source"]) == bool(hosts["instance"]):
        reason = "exactly one of source (host list) and instance (configuration cluster) is required"
        yield hosts.problem("source", reason)


def class_problem(
    request_class: SectionValues, directive: str, reason: str, rule: int | None = None
) -> Problem:
    """Return a problem with a directive of a class; its reason starts with the class name."""
    return request_class.problem(directive, f"{request_class.name}: {reason}", rule)


def check_effect(request_class: SectionValues, rules: SectionValues) -> Iterator[Problem]:
    """Check that the effect is compatible with the consistency, and that keyed classes have key options."""
    effect, *key_options = request_class["effect"]
    writes = request_class["consistency"][0] == "write"
    if effect == "keyed" and len(key_options) < 2:
        reason = "keyed requires a key scope and a deduplication window"
        yield class_problem(request_class, "effect", reason, 2)
    if effect == "keyed" and len(key_options) == 2 and not key_options[1]:
        reason = "with a deduplication window of 0 endpoints detect no duplicates"
        yield class_problem(request_class, "effect", reason, 2)
    if effect != "keyed" and key_options:
        reason = f"{effect} takes no key scope and no deduplication window"
        yield class_problem(request_class, "effect", reason)
    if effect in ("keyed", "once") and not writes:
        reason = f"effect {effect} requires consistency write: only a primary accepts writes"
        yield class_problem(request_class, "consistency", reason, 2)
    if writes and effect == "repeatable" and rules["second-copies"]:
        yield class_problem(
            request_class, "effect", "with second-copies, two copies of a write would be in flight at once", 2
        )


def check_consistency(request_class: SectionValues, token: SectionValues) -> Iterator[Problem]:
    """Check that bounded consistency, and no other, has a staleness bound, and that clocks can measure it."""
    consistency, *bounds_us = request_class["consistency"]
    if (consistency == "bounded") != bool(bounds_us):
        reason = "a staleness bound is required for bounded and not allowed otherwise"
        yield class_problem(request_class, "consistency", reason, 5)
    if consistency == "bounded" and bounds_us and bounds_us[0] <= 2 * token["skew"]:
        bound_ms = bounds_us[0] / US_PER_MS
        skew_ms = token["skew"] / US_PER_MS
        reason = f"a staleness of {bound_ms:g} ms cannot be measured with a clock skew of {skew_ms:g} ms"
        yield class_problem(request_class, "consistency", reason, 5)


def check_deadline(request_class: SectionValues, rules: SectionValues) -> Iterator[Problem]:
    """Check latency objective, answer margin and deadline against each other, and the priority weight."""
    if not 0 < request_class["aim"] <= request_class["deadline"]:
        yield class_problem(request_class, "aim", "the aim must be above 0 and not beyond the deadline", 1)
    if request_class["deadline"] <= 2 * rules["answer-margin"]:
        yield class_problem(request_class, "deadline", "must be more than twice the answer margin", 1)
    if request_class["worth"] <= 0:
        yield class_problem(
            request_class, "worth", "must be above 0: a class without worth is always rejected"
        )


def check_rules(rules: SectionValues, limits: SectionValues) -> Iterator[Problem]:
    """Check attempts, answer margin, hedging, draining and the staleness guard."""
    if not 1 <= rules["attempts"] <= MAX_ATTEMPTS:
        yield rules.problem("attempts", f"attempts: must be 1 to {MAX_ATTEMPTS}")
    if rules["answer-margin"] < MIN_ANSWER_MARGIN_US:
        reason = "answer-margin: must be at least 1ms, to cover the response's way back"
        yield rules.problem("answer-margin", reason, 1)
    if not rules["cancelling"] and rules["second-copies"]:
        reason = "second-copies: without cancelling, second copies continue after the answer"
        yield rules.problem("second-copies", reason, 1)
    if rules["drain-grace"] <= 2 * limits["connect-timeout"]:
        reason = (
            "drain-grace: must be more than twice connect-timeout, "
            "or a connection opened in its first half may carry work after its end"
        )
        yield rules.problem("drain-grace", reason, 3)
    guard, *waits_us = rules["members-check"]
    if (guard == "wait") != bool(waits_us):
        reason = "members-check: how long endpoints wait is required for wait and not allowed otherwise"
        yield rules.problem("members-check", reason)


def check_slow_start(rules: SectionValues) -> Iterator[Problem]:
    """Check that slow start has an initial capacity and a duration, and that overload is above capacity."""
    if not rules["cold-from"]:
        reason = "cold-from: must be above 0%, or a starting endpoint gets no requests"
        yield rules.problem("cold-from", reason, 4)
    if not rules["cold-span"]:
        yield rules.problem("cold-span", "cold-span: must be above 0; endpoints need time to warm up", 4)
    if rules["fall-multiple"] < 1:
        reason = "fall-multiple: must not be below 1, or an endpoint fails at its own capacity"
        yield rules.problem("fall-multiple", reason, 4)
    if not rules["overload-span"]:
        yield rules.problem("overload-span", "overload-span: must be above 0", 4)


def check_limits(limits: SectionValues) -> Iterator[Problem]:
    """Check that limits are not below their minimum and timeouts are above 0."""
    for directive, minimum in MIN_LIMITS.items():
        if limits[directive] < minimum:
            yield limits.problem(directive, f"{directive}: must be at least {minimum}")
    for directive in POSITIVE_LIMITS:
        if not limits[directive]:
            yield limits.problem(directive, f"{directive}: must be above 0", 1)


def check_tenants(tenants: list[SectionValues]) -> Iterator[Problem]:
    """Check that the shares do not exceed 100%."""
    total_share = sum(tenant["share"] for tenant in tenants)
    if total_share > MAX_TOTAL_SHARE:
        yield tenants[-1].problem("share", f"the tenants' shares add up to {total_share:.0%}")

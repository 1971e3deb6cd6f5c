"""The traffic of a demo, and the settings file of each of its edges."""

from __future__ import annotations

from dataclasses import dataclass, replace

from msgspec import structs

from juniperreel.fakes.client_session import TrafficClass
from juniperreel.fakes.mysql_server import USER
from juniperreel.fakes.script import Script
from juniperreel.net.clock import US
from juniperreel.verification import records as rec

MILLISECOND_US = 1_000
DRAIN_GRACE_US = 2 * US  # equals `drain-grace` in EDGE_TEMPLATE
MAX_ATTEMPTS = 6
CAPACITY_SHARES = {"fastlap": 0.6, "splitwest": 0.25, "runhouse": 0.15}  # by tenant
MYSQL_USER = "board"
MYSQL_TENANT = "fastlap"

TRAFFIC_CLASSES = (
    TrafficClass(
        rec.RequestClass(
            0, "board-read", "repeatable", 0, False, False, 300 * MILLISECOND_US, 500 * MILLISECOND_US, 3, 0.2
        ),
        0.60,
        2 * US,
    ),
    TrafficClass(
        rec.RequestClass(0, "own-read", "repeatable", 0, False, True, -1, 600 * MILLISECOND_US, 3, 0.2),
        0.20,
        2_500 * MILLISECOND_US,
    ),
    TrafficClass(
        rec.RequestClass(0, "run-write", "keyed", 5 * US, True, False, -1, 1_200 * MILLISECOND_US, 4, 0.7),
        0.17,
        4 * US,
    ),
    TrafficClass(
        rec.RequestClass(0, "run-once", "once", 0, True, False, -1, 1_200 * MILLISECOND_US, 4, 0.7),
        0.03,
        4 * US,
    ),
)

EDGE_TEMPLATE = """\
# One edge of the demo.
[edge]
name {name}
listen 127.0.0.1:{port}
edges {edges}
groups {groups}
seed {seed}

[hosts]
{hosts}
saved {name}.hosts
timeout 2s
shows-primary yes

{classes}
{tenants}
[rules]
attempts {attempts}
answer-margin 100ms
drain-grace 2s
cold-from 20%
cold-span {cold_ms}ms
fall-multiple 2
overload-span 2s
refusal-wait 500ms
members-check refuse

[limits]
connect-timeout 300ms
probe-timeout 300ms

[mysql]
listen 127.0.0.1:{mysql}
user board app.password
read own-read
write run-write
tenant fastlap
connections 2000

{members}
[token]
key 1 token.key
skew 30ms

[log]
level info
"""


MEMBERS_SECTION = f"""\
[members]
speak mysql
user {USER} member.password
database runs
"""


@dataclass(frozen=True, slots=True)
class EdgeParameters:
    """The settings that differ between edges.

    A port of 0 selects a free one; `endpoint_sources` are the lines of the `[hosts]` section that say where
    the edge learns of endpoints.
    """

    name: str
    number: int
    port: int
    mysql_port: int
    endpoint_sources: str


def traffic_classes(script: Script) -> list[TrafficClass]:
    """Return the script's traffic classes.

    MySQL endpoints do not store idempotency keys, so with them no write is idempotent.
    """
    if not script["mysql-members"]:
        return list(TRAFFIC_CLASSES)
    return [_without_idempotency_keys(traffic_class) for traffic_class in TRAFFIC_CLASSES]


def _without_idempotency_keys(traffic_class: TrafficClass) -> TrafficClass:
    if traffic_class.request_class.idempotency != "keyed":
        return traffic_class
    return replace(
        traffic_class,
        request_class=structs.replace(
            traffic_class.request_class, idempotency="once", deduplication_window_us=0
        ),
    )


def edge_settings(script: Script, edge: EdgeParameters) -> str:
    """Return the text of an edge's settings file."""
    return EDGE_TEMPLATE.format(
        name=edge.name,
        port=edge.port,
        mysql=edge.mysql_port,
        edges=script["edges"],
        groups=script["groups"],
        seed=script["seed"] * 100 + edge.number,
        hosts=edge.endpoint_sources,
        classes="\n".join(_class_section(traffic_class) for traffic_class in traffic_classes(script)),
        tenants="\n".join(f"[tenant {name}]\nshare {share:.0%}\n" for name, share in CAPACITY_SHARES.items()),
        attempts=MAX_ATTEMPTS,
        cold_ms=script["cold-span"] // MILLISECOND_US,
        members=MEMBERS_SECTION if script["mysql-members"] else "",
    )


def _class_section(traffic_class: TrafficClass) -> str:
    cls = traffic_class.request_class
    effect = (
        f"keyed group {_format_ms(cls.deduplication_window_us)}"
        if cls.idempotency == "keyed"
        else cls.idempotency
    )
    return (
        f"[class {cls.name}]\neffect {effect}\nconsistency {_consistency(cls)}\n"
        f"aim {_format_ms(cls.latency_objective_us)}\ndeadline {_format_ms(traffic_class.deadline_us)}\n"
        f"worth {cls.priority_weight:g}\nlate-worth {cls.late_priority_weight:.0%}\n"
    )


def _consistency(cls: rec.RequestClass) -> str:
    if cls.write:
        return "write"
    if cls.session:
        return "session"
    return f"bounded {_format_ms(cls.max_staleness_us)}"


def _format_ms(duration_us: int) -> str:
    return f"{duration_us // MILLISECOND_US}ms"

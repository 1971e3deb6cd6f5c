"""Names, classes, effects, limits and costs come from the settings alone, for arbitrary settings."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from juniperreel.postgres import messages as m
from tests.platform.event_harness import MS, SETTINGS, EventHarness, read_query, row_reply, write_query

ROOT = Path(__file__).parents[2]
DRIVER_SOURCES = ("routing", "platform_settings.py", "platform", "postgres", "net")

names = st.from_regex(re.compile(r"[0-9A-Za-z_.-]{1,64}"), fullmatch=True)
shares = st.floats(0.0, 1.0)


@st.composite
def request_class(draw: st.DrawFn) -> dict[str, Any]:
    deadline = draw(st.floats(0.15, 20.0))
    return {
        "name": draw(names),
        "effect": draw(st.sampled_from(["repeatable", "by_key", "once"])),
        "key_scope": draw(st.sampled_from(["all", "zone", "cell"])),
        "memory_span_s": draw(st.floats(0.0, 10.0)),
        "objective_s": deadline * draw(st.floats(0.1, 1.0)),
        "deadline_s": deadline,
        "worth": draw(st.floats(0.01, 100.0)),
        "late_worth": draw(shares),
    }


@st.composite
def customer_settings(draw: st.DrawFn) -> dict[str, Any]:
    classes = draw(st.lists(request_class(), min_size=1, max_size=5, unique_by=lambda s: s["name"]))
    consistencies = [draw(st.sampled_from(["any", "bounded", "session", "fresh", "write"])) for _ in classes]
    flags = {name: draw(st.booleans()) for name in ("cancelling", "probes", "retry_after", "second_copies")}
    return {
        **SETTINGS,
        "balancers": draw(st.integers(1, 400)),
        "ceilings": {
            **flags,
            "conn_idle_s": draw(st.floats(1.0, 60.0)),
            "connect_timeout_s": draw(st.floats(0.05, 2.0)),
            "max_attempts": draw(st.integers(1, 12)),
            "max_retry_after_s": draw(st.floats(0.0, 5.0)),
        },
        "membership_mode": draw(st.sampled_from(["ask", "push"])),
        "rules": {
            **SETTINGS["rules"],
            "stop_sending_within_s": draw(st.floats(0.1, 5.0)),
            "cold_from": draw(st.floats(0.05, 1.0)),
            "fall_multiple": draw(st.floats(1.1, 5.0)),
        },
        "prices": {"probe": draw(shares), "waste": draw(shares), "late_fail": draw(shares)},
        "services": classes,
        "specifics": {
            **SETTINGS["specifics"],
            "consistency": consistencies,
            "lag_allowed_s": [draw(st.floats(0.0, 2.0)) for _ in classes],
            "guards": draw(st.sampled_from(["off", "refuse", "wait"])),
            "wait_s": draw(st.floats(0.0, 0.2)),
            "token_mode": draw(st.sampled_from(["remembered", "carried"])),
        },
        "tenants": [
            {"name": n, "fraction": 1.0, "quota_rps": 50.0}
            for n in draw(st.lists(names, max_size=3, unique=True))
        ],
    }


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(customer_settings(), st.booleans())
def test_every_request_gets_one_timely_final_answer_for_any_settings(
    settings_data: dict[str, Any], endpoints_answer: bool
) -> None:
    harness = EventHarness(settings=settings_data)
    for number, (request_class_settings, consistency) in enumerate(
        zip(settings_data["services"], settings_data["specifics"]["consistency"], strict=True)
    ):
        name = f"{number + 1:016x}"
        write = consistency == "write"
        timeout_ms = int(request_class_settings["deadline_s"] * 1000)
        text = (
            write_query(name, timeout_ms)
            if write
            else read_query(name, timeout_ms=timeout_ms, k=name, after=harness.time // MS - 500)
        )
        tenant = f"t={settings_data['tenants'][0]['name']}," if settings_data["tenants"] else ""
        text = re.sub(rb"c=[a-z]+,t=acme,", f"c={request_class_settings['name']},{tenant}".encode(), text)
        client = harness.client(text)
        end = harness.time + timeout_ms * MS
        while not client.sent and harness.time <= end + 50 * MS:
            for transport in harness.busy_transports():
                query = transport.take() or harness.log_in(transport)
                if endpoints_answer and query.startswith(b"Q"):
                    role = "primary" if transport is harness.opened[0][1] else "standby"
                    harness.feed(transport, row_reply(b"v", role, harness.time // MS))
            harness.advance_us(10 * MS)
        received = client.take()
        assert received.count(m.READY) == 1, (request_class_settings, consistency, received)
        assert received[:1] in b"TE", (request_class_settings, consistency, received)
        harness.advance_us(100 * MS)
        assert not client.sent  # no second answer
    assert "policy raised on batch" not in harness.log_output.getvalue()


def collect_names(value: Any, under: tuple[str, ...] = ()) -> set[str]:
    """Names of classes, tenants, zones, machine types and tiers in a site file."""
    if isinstance(value, dict):
        return {n for k, v in value.items() for n in collect_names(v, (*under, k))}
    if isinstance(value, list):
        return {n for v in value for n in collect_names(v, under)}
    names_deployment = under[-1:] in (("name",), ("zones",)) and under[0] != "trouble"
    return {value} if names_deployment and isinstance(value, str) else set()


def test_source_contains_no_deployment_names() -> None:
    found = set()
    for site in (ROOT / "deploy/sites").glob("*.toml"):
        found |= collect_names(tomllib.loads(site.read_text(encoding="utf-8")))
    assert {"harbour-tides", "tide-table", "pilots", "north-quay", "slim-4", "quiz-db"} <= found
    package = ROOT / "juniperreel"
    files = [
        f
        for part in DRIVER_SOURCES
        for f in ([package / part] if part.endswith(".py") else (package / part).rglob("*.py"))
    ]
    assert len(files) > 20
    for file in [*files, ROOT / "deploy/balancer.toml"]:
        text = file.read_text(encoding="utf-8")
        strings = set(re.findall(r"[\"']([A-Za-z0-9_.-]+)[\"']", text))
        assert not strings & found, file

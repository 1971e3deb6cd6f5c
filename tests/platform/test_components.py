"""Unit tests of components without I/O: descriptor budget, idle timeout, shutdown schedule, timers, parameter
status, endpoint lists and configuration."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.platform import endpoint_list, parameter_status
from juniperreel.platform.config import parse_config
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.discovery import RESPONSE_TIMEOUT_US, watch_wait_us
from juniperreel.platform.errors import ConfigError, EndpointListError
from juniperreel.platform.graceful_shutdown import GracefulShutdown
from juniperreel.platform.idle_timeout import IdleTimeout
from juniperreel.platform.timer_queue import TimerQueue
from juniperreel.routing.types import LoadReport, Readiness, Role
from tests.platform.event_harness import MS, SEC, SETTINGS, config_bytes, list_entry


@pytest.mark.parametrize("total", [64, 256, 384, 1024])
def test_descriptors_are_divided_between_clients_and_endpoints(total: int) -> None:
    budget = DescriptorBudget(total)
    assert budget.client_limit + budget.endpoint_limit < total
    assert budget.client_limit > total / 3 - 8


def test_idle_timeout_adapts_to_lost_uses() -> None:
    timeout = IdleTimeout()
    for n in range(200):
        timeout.record_use(n * 20 * MS, 5 * MS, n % 25 != 0)  # a constant loss of one in 25
    assert timeout.allows(60 * SEC)
    for n in range(20):
        timeout.record_use(4 * SEC + n, 300 * MS, n % 3 != 0)
    assert not timeout.allows(300 * MS)
    assert timeout.allows(200 * MS)
    for n in range(40):
        timeout.record_use((8 + n) * SEC, 2 * MS, True)
    assert timeout.allows(300 * MS)  # without recent uses, losses decay and the idle time is tried again


def test_shortest_idle_time_is_always_allowed() -> None:
    timeout = IdleTimeout()
    for n in range(50):
        timeout.record_use(n, 0, False)
    assert timeout.allows(0)


def test_shutdown_closes_connections_and_answers_before_kill() -> None:
    shutdown = GracefulShutdown(2 * SEC)
    assert shutdown.latest_answer_us(9 * SEC) == 9 * SEC
    assert not shutdown.closes_connections(9 * SEC)
    shutdown.begin(10 * SEC)
    shutdown.begin(11 * SEC)  # a second SIGTERM has no effect
    kill = 10 * SEC + 2 * SEC + 700 * MS
    assert not shutdown.closes_connections(kill - 900 * MS)
    assert shutdown.closes_connections(kill - 800 * MS)
    assert shutdown.closes_listener(kill - 800 * MS)
    assert shutdown.latest_answer_us(60 * SEC) == kill - 500 * MS
    assert not shutdown.rejects_requests(kill - 501 * MS)
    assert shutdown.rejects_requests(kill - 500 * MS)
    assert shutdown.is_over(kill - 200 * MS)
    assert GracefulShutdown(9 * SEC).latest_answer_us(60 * SEC) == 60 * SEC
    late = GracefulShutdown(9 * SEC)
    late.begin(0)
    assert late.latest_answer_us(60 * SEC) == 3200 * MS  # longer deadlines are capped at 3 s


@pytest.mark.parametrize("deadline_us", [50 * MS, 200 * MS, 300 * MS, 600 * MS, 1 * SEC])
def test_shutdown_with_early_kill_accepts_expected_new_connections(deadline_us: int) -> None:
    shutdown = GracefulShutdown(deadline_us)
    shutdown.begin(0)
    kill_us = deadline_us + 700 * MS
    assert not shutdown.closes_listener(400 * MS)
    assert 0 < shutdown.closing_starts_us() <= shutdown.answers_due_us() == kill_us - 500 * MS
    assert shutdown.answers_due_us() < shutdown.last_answers_us() < shutdown.exit_us() < kill_us
    assert shutdown.closes_listener(shutdown.exit_us())


def test_watch_wait_scales_with_fleet_size_within_bounds() -> None:
    router = parse_config(config_bytes()).router
    for routers, ask_s, wait_s in ((3, 0, 2.0), (6, 30, 2.0), (150, 30, 3.0), (240, 0, 4.0), (240, 5, 2.5)):
        changed = replace(router, router_count=routers, poll_interval_us=ask_s * SEC)
        assert watch_wait_us(changed) == wait_s * SEC
        assert wait_s * SEC + RESPONSE_TIMEOUT_US < 6 * SEC  # missed changes count as notified after 6 s


def test_timers_run_in_order_of_due_time() -> None:
    timers, calls = TimerQueue(), list[int]()
    for due in (30, 10, 20, 10):
        timers.call_at(due, lambda due=due: calls.append(due))  # type: ignore[misc]
    assert timers.next_due_us() == 10
    timers.run_due(20)
    assert calls == [10, 10, 20]
    assert timers.next_due_us() == 30


def test_cancelled_timers_do_not_run_and_are_not_kept() -> None:
    """Guards against memory: the timeouts of attempts that had ended were kept until they were due."""
    timers, calls = TimerQueue(), list[int]()
    for n in range(10_000):
        timer = timers.call_at(SEC + n, lambda n=n: calls.append(n))  # type: ignore[misc]
        if n % 100:
            timer.cancel()
            timer.cancel()
        assert len(timers) < 2 * n // 100 + 200
    timers.run_due(SEC + 10_000)
    assert calls == list(range(0, 10_000, 100))
    assert len(timers) == 0
    timer.cancel()


def test_timer_cancelled_by_another_one_due_at_the_same_time_does_not_run() -> None:
    timers, calls = TimerQueue(), list[str]()
    timers.call_at(10, lambda: later.cancel())
    later = timers.call_at(10, lambda: calls.append("later"))
    timers.run_due(10)
    assert not calls
    assert timers.next_due_us() is None


def test_parameter_status_is_parsed_and_malformed_values_ignored() -> None:
    assert parameter_status.position_us({"log_position": "1767225600123"}) == 1767225600123000
    for text in ("", "-5", "1e9", "9" * 40, "²"):
        assert parameter_status.position_us({"log_position": text}) is None
    assert parameter_status.role({"replication_role": "primary"}) is Role.PRIMARY
    assert parameter_status.role({"replication_role": "king"}) is Role.UNKNOWN
    report = parameter_status.load_report("x0=1767225600.123,x1=1,queue=4")
    assert report == LoadReport(1767225600123000, True, None, 4.0)
    for text in ("x0", "x0=nan", "x0=1,,x1=0", "queue=-1", "a" * 2000, "inflight=inf"):
        assert parameter_status.load_report(text) is None


@given(st.text(max_size=60))
def test_load_report_parser_never_raises(text: str) -> None:
    parameter_status.load_report(text)
    parameter_status.position_us({"log_position": text})


def test_unreadable_list_entries_are_skipped() -> None:
    raw = {
        "seq": 7,
        "whole": True,
        "hosts": [
            list_entry("a", 1, health="Terminating", born_ms=1767225600123.5, replication="primary"),
            list_entry("b", 2, health="Lost"),
            list_entry("c", 3, dial="nowhere"),
            list_entry("d", 4, share=0),
            "noise",
        ],
    }
    found = endpoint_list.read_endpoint_list(raw, ["east"], ["k"])
    assert found.unreadable_lines == 4
    assert found.version == 7
    assert found.addresses == {"a": ("127.0.0.1", 1)}
    (endpoint,) = found.endpoints
    assert endpoint.readiness is Readiness.DRAINING
    assert endpoint.listed_primary
    assert endpoint.started_us == 1767225600123500
    gone = endpoint_list.read_endpoint_list(
        {"seq": 8, "whole": False, "hosts": [{"host": "a", "health": "Gone"}]}, [], []
    )
    assert gone.endpoints[0].readiness is Readiness.REMOVED


@pytest.mark.parametrize(
    "raw",
    [None, [], {}, {"seq": 1, "whole": True, "hosts": []}, {"seq": "1", "whole": False, "hosts": []}],
)
def test_invalid_list_raises_error(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        endpoint_list.read_endpoint_list(raw, [], [])


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(list(list_entry("a", 1))), json_values))
def test_list_entry_parser_never_raises(line: dict[str, Any]) -> None:
    found = endpoint_list.read_endpoint_list({"seq": 1, "whole": False, "hosts": [line]}, ["east"], ["k"])
    assert len(found.endpoints) + found.unreadable_lines == 1


def test_invalid_configuration_is_rejected_as_a_whole() -> None:
    config = parse_config(config_bytes())
    assert config.discovery == ("127.0.0.1", 9)
    assert config.seed == 0x5F
    assert config.connect_timeout_us == 250 * MS
    assert config.router.must_poll
    without = {k: v for k, v in SETTINGS.items() if k != "rules"}
    for data in (
        b"",
        b"{}",
        config_bytes()[:-40],
        config_bytes(discovery="here"),
        config_bytes(seed="xyz"),
        config_bytes(settings=without),
        b"[1]",
        json.dumps([config_bytes().decode()]).encode(),
    ):
        with pytest.raises(ConfigError):
            parse_config(data)


NESTED_TOO_DEEP = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(config_bytes(settings={**SETTINGS, "prices": ["probe"]}), id="prices are a list"),
        pytest.param(config_bytes(settings={**SETTINGS, "tenants": [["acme"]]}), id="a tenant is a list"),
        pytest.param(
            config_bytes(settings={**SETTINGS, "rules": {**SETTINGS["rules"], "cold_s": 1e308}}),
            id="a time beyond numbers",
        ),
        pytest.param(config_bytes(settings={**SETTINGS, "balancers": 1e308 * 10}), id="infinitely many"),
        pytest.param(config_bytes(listen="127.0.0.1:" + "9" * 5000), id="a port of 5000 digits"),
        pytest.param(
            config_bytes()[:-1] + b',"more":' + NESTED_TOO_DEEP + b"}", id="nested beyond the stack"
        ),
    ],
)
def test_invalid_configuration_raises_only_config_error(data: bytes) -> None:
    """Any other exception would terminate a driver that reloads its configuration."""
    with pytest.raises(ConfigError):
        parse_config(data)

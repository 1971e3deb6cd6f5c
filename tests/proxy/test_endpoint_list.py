"""Tests of the entries of the discovery service's endpoint list."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from juniperreel.proxy.endpoint_list import ListedEndpoint, parse_endpoint
from tests.proxy.builders import list_entry
from tests.routing.router_script import MS, SEC


@pytest.mark.parametrize(
    "bad",
    [
        {"id": ""},
        {"address": ""},
        {"port": 0},
        {"group": 9},
        {"readiness": 0},
        {"size": -1.0},
        {"size": float("nan")},
    ],
)
def test_invalid_list_entry_is_ignored(bad: dict[str, Any]) -> None:
    assert parse_endpoint(list_entry(), 3) is not None
    assert parse_endpoint(list_entry(**bad), 3) is None


def test_listed_start_counts_as_later_by_the_clock_skew() -> None:
    endpoint = parse_endpoint(list_entry(started=5 * SEC), 3)
    assert endpoint is not None
    assert endpoint.router_endpoint(10 * MS).started_us == 5 * SEC + 10 * MS
    assert msgspec.json.decode(msgspec.json.encode(endpoint), type=ListedEndpoint) == endpoint

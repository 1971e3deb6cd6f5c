"""Rejection of invalid settings."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from juniperreel.routing.router import Router
from tests.routing.router_script import SETTINGS


@pytest.mark.parametrize(
    "field",
    [
        "router_count",
        "max_attempts",
        "slow_start_initial_capacity",
        "overload_multiple",
        "overload_window_us",
    ],
)
def test_router_with_a_setting_of_zero_is_refused_by_the_name_of_the_field(field: str) -> None:
    change: dict[str, Any] = {field: 0}
    impossible = replace(SETTINGS, **change)
    with pytest.raises(ValueError, match=field):
        Router(impossible, 1)

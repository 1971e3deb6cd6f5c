"""The rate limit of openings."""

from __future__ import annotations

import random

from juniperreel.pool.open_limiter import OpenLimiter

SECOND_US = 1_000_000


def test_tokens_taken_at_time_zero_are_refilled_from_then_on() -> None:
    """Guards against a clock that starts at 0, as in virtual time, whose first opening would never count."""
    limiter = OpenLimiter(max_connections=10, open_rate=2.0, open_burst=1.0, random_source=random.Random(1))
    limiter.take_token(0)
    assert limiter.available_tokens(0) == 0.0
    assert limiter.available_tokens(SECOND_US // 4) == 0.5
    assert limiter.available_tokens(SECOND_US) == 1.0

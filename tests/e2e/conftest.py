"""The fixture of the end-to-end tests."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from tests.e2e.environment import Environment


@pytest.fixture
async def env(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    started: Environment = await nursery.start(Environment(tmp_path).run)
    return started

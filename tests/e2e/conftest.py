"""The world of the end-to-end tests."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from tests.e2e.world import World


@pytest.fixture
async def world(nursery: trio.Nursery, tmp_path: Path) -> World:
    started: World = await nursery.start(World(tmp_path).run)
    return started

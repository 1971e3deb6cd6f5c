"""Tests of the committed configuration as the source of the endpoint list."""

from __future__ import annotations

import random

import msgspec
from immutables import Map

from juniperreel.net import Clock, TcpNetwork
from juniperreel.proxy.configuration_source import ConfigurationSource
from juniperreel.raft.configuration.model import EMPTY, MemberInfo
from tests.proxy.builders import driver_options


async def test_configuration_older_than_the_cached_list_is_ignored() -> None:
    updates: list[object] = []
    source = ConfigurationSource(
        driver_options(configuration_addresses=(("127.0.0.1", 1),)),
        TcpNetwork(),
        Clock(),
        random.Random(1),
        lambda _kind, endpoints: updates.append(endpoints),
        lambda *_, **__: None,
    )
    source.version = 5
    member = MemberInfo(0, "h", 1)
    for version in (4, 5, 6):
        source._update(msgspec.structs.replace(EMPTY, version=version, members=Map({"m": member})))
    assert len(updates) == 2
    assert source.version == 6

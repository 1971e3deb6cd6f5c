"""Texts of failed connects, as operators read them in logs."""

from __future__ import annotations

import pytest

from juniperreel.net import ConnectTimedOutError, TcpNetwork


async def test_connect_that_timed_out_says_so() -> None:
    """A time-out of trio has no text of its own, so the message ended with a colon."""
    network = TcpNetwork()
    listener = await network.listen("127.0.0.1", 0)
    with pytest.raises(ConnectTimedOutError) as raised:
        await network.connect("127.0.0.1", listener.port, timeout_us=0)
    await listener.aclose()
    assert str(raised.value) == f"127.0.0.1:{listener.port} does not answer: timed out"

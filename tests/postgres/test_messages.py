"""Messages that are discarded while they are being received."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from juniperreel.postgres import messages as m

LIMIT = 4_096
KINDS = b"QX"


@given(
    sizes=st.lists(st.integers(0, 300), min_size=1, max_size=6),
    cuts=st.lists(st.integers(1, 200), min_size=1, max_size=20),
    discards=st.sets(st.integers(0, 40)),
)
def test_discarding_incomplete_messages_keeps_all_others(
    sizes: list[int], cuts: list[int], discards: set[int]
) -> None:
    payloads = [bytes([number]) * size for number, size in enumerate(sizes)]
    data = b"".join(m.message(b"Q", payload) for payload in payloads)
    reader = m.MessageReader(LIMIT)
    received: list[m.Message] = []
    position = 0
    step = 0
    while position < len(data):
        part = data[position : position + cuts[step % len(cuts)]]
        position += len(part)
        reader.receive_data(part)
        while (message := reader.next_message(KINDS)) is not None:
            received.append(message)
        consumed = sum(m.HEADER_SIZE + len(payload) for payload in payloads[: len(received)])
        assert reader.buffered == position - consumed
        if step in discards and reader.held >= m.HEADER_SIZE:
            reader.discard_incomplete()
            assert reader.held == 0
        step += 1
    assert len(received) == len(payloads)
    for message, payload in zip(received, payloads, strict=True):
        assert message.payload == (b"" if message.is_discarded else payload)

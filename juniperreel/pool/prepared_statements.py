"""What is prepared on one backend connection: texts, and how they read, to the ids that its server gave them.

Bounded: the one that was not used for longest is closed. An id is good on its own connection and nowhere
else.
"""

from __future__ import annotations

from collections import OrderedDict

Text = tuple[bytes, str]  # and what of the session's state changes how it reads


class Statements:
    def __init__(self, most: int) -> None:
        self._most = most
        self._ids: OrderedDict[Text, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ids)

    def get(self, text: Text) -> int | None:
        number = self._ids.get(text)
        if number is not None:
            self._ids.move_to_end(text)
        return number

    def keep(self, text: Text, number: int) -> list[int]:
        """The ids to close."""
        self._ids[text] = number
        closed = []
        while len(self._ids) > self._most:
            _, old = self._ids.popitem(last=False)
            closed.append(old)
        return closed

    def forget(self, text: Text) -> None:
        self._ids.pop(text, None)

    def clear(self) -> None:
        """The connection was reset, and its server forgot them too."""
        self._ids.clear()

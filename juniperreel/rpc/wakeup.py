"""A condition that tasks wait for, without any state of its own."""

from __future__ import annotations

import trio


class Wakeup:
    """Tasks wait until they are woken; waking with nobody waiting does nothing."""

    __slots__ = ("_lot",)

    def __init__(self) -> None:
        self._lot: trio.lowlevel.ParkingLot | None = None

    async def wait(self) -> None:
        """Wait for the next `wake`."""
        if self._lot is None:
            self._lot = trio.lowlevel.ParkingLot()
        await self._lot.park()

    def wake(self) -> None:
        """Wake all that wait."""
        if self._lot:
            self._lot.unpark_all()

"""A stateless notification that tasks can wait for."""

from __future__ import annotations

import trio


class Wakeup:
    """Wakes all waiting tasks; a `wake` without waiting tasks has no effect."""

    __slots__ = ("_lot",)

    def __init__(self) -> None:
        self._lot: trio.lowlevel.ParkingLot | None = None

    async def wait(self) -> None:
        """Wait for the next `wake`."""
        if self._lot is None:
            self._lot = trio.lowlevel.ParkingLot()
        await self._lot.park()

    def wake(self) -> None:
        """Wake all waiting tasks."""
        if self._lot:
            self._lot.unpark_all()

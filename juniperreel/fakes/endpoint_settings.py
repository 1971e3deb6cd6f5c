"""What all fake endpoints of a fleet have in common."""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.verification.records import Limits


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Size, speed and protocols of an endpoint. Work is microseconds of one core after slow start."""

    cores: int = 4
    queue_limit: int = 200  # requests that wait for a core
    read_us: int = 12_000
    write_us: int = 15_000
    initial_capacity: float = 0.2  # part of the full one when slow start begins
    slow_start_us: int = 6_000_000
    overload_multiple: float = 2.0  # of its capacity, which a warming endpoint bears for the window
    overload_window_us: int = 2_000_000
    lock_wait_s: float = 0.5  # of statements behind another connection's transaction
    mysql: bool = False  # edges are given its MySQL port
    postgres: bool = False  # it speaks the platform's protocol to edges
    synchronous_replication: bool = True  # a write is answered when another endpoint has received it

    def limits(self, now_us: int, drain_grace_us: int, max_attempts: int) -> Limits:
        """The record of the limits that edges before these endpoints are judged by."""
        return Limits(
            now_us,
            drain_grace_us,
            self.initial_capacity,
            self.slow_start_us,
            self.overload_multiple,
            self.overload_window_us,
            max_attempts,
        )

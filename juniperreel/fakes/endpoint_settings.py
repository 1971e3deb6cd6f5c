"""Settings shared by all fake endpoints of a fleet."""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.verification.records import Limits


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Size, speed and protocols of an endpoint. Work is in microseconds of one core after slow start."""

    cores: int = 4
    queue_limit: int = 200  # requests waiting for a core
    read_us: int = 12_000
    write_us: int = 15_000
    initial_capacity: float = 0.2  # fraction of the full one when slow start begins
    slow_start_us: int = 6_000_000
    overload_multiple: float = 2.0  # of the current capacity; a warming endpoint fails above it
    overload_window_us: int = 2_000_000
    lock_wait_s: float = 0.5  # of statements blocked by another connection's transaction
    mysql: bool = False  # the endpoint list has its MySQL port
    postgres: bool = False  # edges use the platform's protocol
    synchronous_replication: bool = True  # a write is answered once another endpoint has received it

    def limits(self, now_us: int, drain_grace_us: int, max_attempts: int) -> Limits:
        """The limits record for checking edges that use these endpoints."""
        return Limits(
            now_us,
            drain_grace_us,
            self.initial_capacity,
            self.slow_start_us,
            self.overload_multiple,
            self.overload_window_us,
            max_attempts,
        )

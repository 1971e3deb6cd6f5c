"""Networking and the clock. No other package opens sockets."""

from juniperreel.net.clock import Clock
from juniperreel.net.network import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimedOutError,
    Listener,
    Network,
    ReservedPort,
    TcpNetwork,
    has_unread_bytes,
    hung_up,
)
from juniperreel.net.stall_monitor import StallMonitor

__all__ = [
    "Clock",
    "ConnectError",
    "ConnectRefusedError",
    "ConnectTimedOutError",
    "Listener",
    "Network",
    "ReservedPort",
    "StallMonitor",
    "TcpNetwork",
    "has_unread_bytes",
    "hung_up",
]

"""The seam to network and clock: the only room that opens a socket."""

from juniperreel.net.clock import Clock
from juniperreel.net.network import (
    ConnectError,
    HeldPort,
    Listener,
    Network,
    Refused,
    Silent,
    TcpNetwork,
    hung_up,
)
from juniperreel.net.stall_monitor import Pace

__all__ = [
    "Clock",
    "ConnectError",
    "HeldPort",
    "Listener",
    "Network",
    "Pace",
    "Refused",
    "Silent",
    "TcpNetwork",
    "hung_up",
]

"""What the program tells of itself: log, metrics, traces. Imports nothing of ours, decides nothing."""

from juniperreel.telemetry.log import make_log
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces

__all__ = ["Metrics", "Traces", "make_log"]

"""Hosts one `Router`: the loop that every way into the program shares."""

from juniperreel.hosting.loop import RouterLoop

__all__ = ["RouterLoop"]

"""Decisions of a query router for sharded, replicated databases."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from juniperreel.routing.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> object:
    """Import the router when it is first asked for: a process that starts has signals to handle before."""
    if name != "Router":
        message = f"module {__name__!r} has no attribute {name!r}"
        raise AttributeError(message)
    from juniperreel.routing.router import Router

    return Router

"""Routing of queries to sharded, replicated databases."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from juniperreel.routing.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> object:
    """Import the router on first access: a starting process must install its signal handlers first."""
    if name != "Router":
        message = f"module {__name__!r} has no attribute {name!r}"
        raise AttributeError(message)
    from juniperreel.routing.router import Router

    return Router

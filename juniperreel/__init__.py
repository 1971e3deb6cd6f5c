"""Decisions of a query router for sharded, replicated databases."""

from juniperreel.rules import Router

__all__ = ["Router"]

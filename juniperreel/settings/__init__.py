"""The settings file: one directive a line, in sections, checked whole before any of it counts."""

from juniperreel.settings.edge import EdgeSettings, read_edge
from juniperreel.settings.lexer import Problem, SettingsError

__all__ = ["EdgeSettings", "Problem", "SettingsError", "read_edge"]

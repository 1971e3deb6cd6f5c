"""Settings files: one directive per line, in sections, validated as a whole before any of it takes effect."""

from juniperreel.settings.edge import read_edge
from juniperreel.settings.edge_settings import EdgeSettings
from juniperreel.settings.errors import Problem, SettingsError

__all__ = ["EdgeSettings", "Problem", "SettingsError", "read_edge"]

"""Settings files: sections with one directive per line, validated as a whole before any takes effect."""

from juniperreel.settings.edge import read_edge
from juniperreel.settings.edge_settings import EdgeSettings
from juniperreel.settings.errors import Problem, SettingsError

__all__ = ["EdgeSettings", "Problem", "SettingsError", "read_edge"]

"""Reads an edge's settings file on behalf of commands that require one."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from juniperreel.settings import EdgeSettings, SettingsError, read_edge

INVALID_SETTINGS_STATUS = 2


def read_settings_or_exit(file: Path) -> EdgeSettings:
    """Return the settings, or print every error in the file and exit with INVALID_SETTINGS_STATUS."""
    try:
        return read_edge(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        count = len(error.problems)
        click.echo(f"{file}: refused, {count} problem{'s' if count > 1 else ''}", err=True)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
    sys.exit(INVALID_SETTINGS_STATUS)

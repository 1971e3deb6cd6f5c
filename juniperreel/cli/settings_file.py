"""Reads an edge's settings file for commands that cannot go on without it."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from juniperreel.settings import EdgeSettings, SettingsError, read_edge

UNREADABLE_STATUS = 2


def read_settings_or_exit(file: Path) -> EdgeSettings:
    """Return the settings; say all that is wrong with the file and end the command with 2 if they are bad."""
    try:
        return read_edge(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        count = len(error.problems)
        click.echo(f"{file}: refused, {count} problem{'s' if count > 1 else ''}", err=True)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
    sys.exit(UNREADABLE_STATUS)

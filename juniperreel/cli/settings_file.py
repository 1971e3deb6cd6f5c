"""Reads settings files on behalf of commands that require one."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from juniperreel.settings import EdgeSettings, SettingsError, read_edge
from juniperreel.settings.configd import is_instance_file, read_instance

INVALID_SETTINGS_STATUS = 2

T = TypeVar("T")


def read_settings_or_exit(file: Path) -> EdgeSettings:
    """Return an edge's settings, or print every error in the file and exit with INVALID_SETTINGS_STATUS."""
    return _read_or_exit(read_edge, file)


def summarize_settings_or_exit(file: Path) -> str:
    """Describe the valid settings of an edge or of an instance; print and exit as `read_settings_or_exit`."""
    if _read_or_exit(is_instance_file, file):
        instance = _read_or_exit(read_instance, file)
        return f"instance {instance.name}, {len(instance.members)} members"
    edge = read_settings_or_exit(file)
    return f"{len(edge.router.classes)} classes, {edge.groups} groups"


def _read_or_exit(read: Callable[[Path], T], file: Path) -> T:
    try:
        return read(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        count = len(error.problems)
        click.echo(f"{file}: refused, {count} problem{'s' if count > 1 else ''}", err=True)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
    sys.exit(INVALID_SETTINGS_STATUS)

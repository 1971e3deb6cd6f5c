"""Script parsing and recorder files shared by several commands."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from juniperreel.fakes.script import Script, ScriptError, parse
from juniperreel.verification.records import Recorder

INVALID_SCRIPT_STATUS = 2


def parse_script_or_exit(text: str, prefix: str = "") -> Script:
    """Parse a script; if it is invalid, print every error and exit with status INVALID_SCRIPT_STATUS."""
    try:
        return parse(text)
    except ScriptError as error:
        click.echo(f"{prefix}{error}", err=True)
        sys.exit(INVALID_SCRIPT_STATUS)


@contextmanager
def open_recorder(path: Path | None) -> Iterator[Recorder]:
    """Yield a recorder that also writes to `path`, if given. Raises OSError."""
    if path is None:
        yield Recorder()
        return
    with path.open("wb") as out:
        yield Recorder(out)

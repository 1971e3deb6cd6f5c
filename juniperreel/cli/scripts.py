"""Reads day scripts for commands that cannot go on without one."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from juniperreel.fakes.script import Script, ScriptError, parse
from juniperreel.verification.records import Recorder

BAD_SCRIPT_STATUS = 2


def parse_or_exit(text: str, prefix: str = "") -> Script:
    """Return the day of a script; if it is bad, say all that is wrong and end the command with 2."""
    try:
        return parse(text)
    except ScriptError as error:
        click.echo(f"{prefix}{error}", err=True)
        sys.exit(BAD_SCRIPT_STATUS)


@contextmanager
def open_recorder(path: Path | None) -> Iterator[Recorder]:
    """A recorder that also writes to `path`, if there is one. Raises OSError."""
    if path is None:
        yield Recorder()
        return
    with path.open("wb") as out:
        yield Recorder(out)

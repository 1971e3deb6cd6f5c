"""Secrets that a settings file names by the path of a file."""

from __future__ import annotations

from pathlib import Path

from juniperreel.settings.errors import InvalidValueError

MIN_KEY_BYTES = 16


def read_secret(directory: Path, path: Path) -> bytes:
    """The contents of a file, without white space around them; relative paths start at `directory`.

    Raises:
        InvalidValueError: The file cannot be read.
    """
    try:
        return (directory / path).read_bytes().strip()
    except OSError as error:
        raise InvalidValueError(f"{path} cannot be read: {error.strerror}") from error


def check_key_length(path: Path, key: bytes) -> None:
    """Raise InvalidValueError if a key is too short to sign with."""
    if len(key) < MIN_KEY_BYTES:
        raise InvalidValueError(f"{path} holds {len(key)} bytes; {MIN_KEY_BYTES} are the least")

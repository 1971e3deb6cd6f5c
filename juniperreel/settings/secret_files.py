"""Secrets stored in files that a settings file refers to."""

from __future__ import annotations

from pathlib import Path

from juniperreel.settings.errors import InvalidValueError

MIN_KEY_BYTES = 16


def read_secret(directory: Path, path: Path) -> bytes:
    """Read a file and strip surrounding white space; relative paths are relative to `directory`.

    Raises:
        InvalidValueError: The file cannot be read.
    """
    try:
        return (directory / path).read_bytes().strip()
    except OSError as error:
        raise InvalidValueError(f"{path} cannot be read: {error.strerror}") from error


def check_key_length(path: Path, key: bytes) -> None:
    """Raise InvalidValueError if a signing key is too short."""
    if len(key) < MIN_KEY_BYTES:
        raise InvalidValueError(f"{path} holds {len(key)} bytes; at least {MIN_KEY_BYTES} are required")

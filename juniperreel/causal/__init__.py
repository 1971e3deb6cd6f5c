"""Causal tokens: what a client has seen or written, as epochs and log positions of groups."""

from juniperreel.causal.codec import Keyring, SigningKey, TokenError
from juniperreel.causal.history import EpochStart, History
from juniperreel.causal.token import EMPTY, MAX_ENTRIES, EpochPosition, Token

__all__ = [
    "EMPTY",
    "MAX_ENTRIES",
    "EpochPosition",
    "EpochStart",
    "History",
    "Keyring",
    "SigningKey",
    "Token",
    "TokenError",
]

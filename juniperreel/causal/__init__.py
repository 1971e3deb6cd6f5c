"""Causal tokens: the epochs and log positions per group that a client has observed or written."""

from juniperreel.causal.codec import Keyring, SigningKey, TokenError
from juniperreel.causal.history import EpochStart, History
from juniperreel.causal.token import EMPTY_TOKEN, MAX_ENTRIES, EpochPosition, Token

__all__ = [
    "EMPTY_TOKEN",
    "MAX_ENTRIES",
    "EpochPosition",
    "EpochStart",
    "History",
    "Keyring",
    "SigningKey",
    "Token",
    "TokenError",
]

"""Causal tokens: what a client has seen or written, as epochs and log positions of groups."""

from juniperreel.causal.codec import Keyring, TokenError
from juniperreel.causal.history import History
from juniperreel.causal.token import EMPTY, MAX_ENTRIES, Token

__all__ = ["EMPTY", "MAX_ENTRIES", "History", "Keyring", "Token", "TokenError"]

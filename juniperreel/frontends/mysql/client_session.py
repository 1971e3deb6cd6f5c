"""The state of a client's session between statements, except for its transaction."""

from __future__ import annotations

import secrets
from collections.abc import Mapping, Sequence

from juniperreel.causal import EMPTY_TOKEN, Keyring, Token, TokenError
from juniperreel.frontends.mysql.errors import INVALID_TOKEN, NOT_SUPPORTED, MysqlError
from juniperreel.mysql.replies import gtid_track
from juniperreel.mysql.values import Value
from juniperreel.pool.errors import SessionStateTooLargeError
from juniperreel.pool.session_state import INITIAL_SESSION_STATE, SessionState
from juniperreel.statements import LexerMode

NAME_BYTES = 6  # random bytes of a session's name
TOKEN_ATTRIBUTE = "juniperreel_token"


class SessionContext:
    """A connection's user, schema, session variables and causal token.

    The token is joined with the position of every answer and sent with every request, so that reads are
    monotonic and see the session's own writes at any endpoint.
    """

    def __init__(self, keyring: Keyring) -> None:
        """`keyring` signs and checks causal tokens."""
        self._keyring = keyring
        self.user = ""
        self.schema = ""
        self.token: Token = EMPTY_TOKEN
        self.parse_mode = LexerMode()
        self.variables = INITIAL_SESSION_STATE
        self.name = f"mysql-{secrets.token_hex(NAME_BYTES)}"
        self._reported_token: Token = EMPTY_TOKEN
        self._requests = 0

    def reset(self) -> None:
        """Start a new session. The token stays: the client must not read older data than it has seen."""
        self.parse_mode = LexerMode()
        self.variables = INITIAL_SESSION_STATE

    def next_idempotency_key(self) -> str:
        """A key for one request, unique across sessions."""
        self._requests += 1
        return f"{self.name}-{self._requests}"

    # The causal token.

    def merge_token(self, text: str) -> None:
        """Join a token that the client presents. Raises MysqlError for one that was not issued here."""
        try:
            self.token = self.token.join(self._keyring.decode_text(text))
        except TokenError as error:
            raise MysqlError(INVALID_TOKEN, str(error)) from error

    def encoded_token(self) -> str:
        """The token in the text form that clients send."""
        return self._keyring.encode_text(self.token)

    def changed_token_tracking(self) -> list[tuple[int, bytes]]:
        """Session tracking data of an OK packet: the token, if it has grown since it was last reported."""
        if self.token == self._reported_token:
            return []
        self._reported_token = self.token
        return [gtid_track(self.encoded_token())]

    # Session variables.

    def with_assignments(self, assignments: Sequence[tuple[str, str]]) -> SessionState:
        """The variables as they would be after the assignments. Raises MysqlError for too many of them."""
        variables = self.variables
        try:
            for name, literal in assignments:
                variables = variables.set(name, literal)
        except SessionStateTooLargeError as error:
            raise MysqlError(NOT_SUPPORTED, str(error)) from error
        return variables

    def apply_variables(self, variables: SessionState) -> None:
        """Adopt variables that an endpoint has accepted: later statements are parsed under them."""
        self.variables = variables
        modes = variables.variables.get("sql_mode", "").strip("'").upper().split(",")
        self.parse_mode = LexerMode(
            ansi_quotes="ANSI_QUOTES" in modes or "ANSI" in modes,
            no_backslash_escapes="NO_BACKSLASH_ESCAPES" in modes,
        )


def merge_presented_tokens(
    session: SessionContext, attributes: Mapping[str, Value], comment_token: str | None
) -> None:
    """Join the tokens that come with a statement, in an attribute or a comment. Raises MysqlError."""
    attribute = attributes.get(TOKEN_ATTRIBUTE)
    if attribute is not None:
        session.merge_token(str(attribute))
    if comment_token is not None:
        session.merge_token(comment_token)

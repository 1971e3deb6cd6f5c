"""Splits a statement into tokens, as MySQL's lexer does (MySQL reference manual, "Language Structure").

Comments, quotes and escapes can hide keywords, and their meaning depends on the session: on ANSI_QUOTES, on
NO_BACKSLASH_ESCAPES, and on the character set, as in some a backslash may be the second byte of a character.
Text that the server might tokenize differently raises `AmbiguousTextError`; the statement is then sent to a
primary.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# In these, no ASCII byte is ever part of another character. In gbk, big5, sjis and others, 0x5C may be.
ASCII_SAFE_CHARSETS = frozenset(
    {
        "utf8mb4",
        "utf8mb3",
        "utf8",
        "ascii",
        "binary",
        "latin1",
        "latin2",
        "latin5",
        "latin7",
        "cp1250",
        "cp1251",
        "cp1256",
        "cp1257",
        "koi8r",
    }
)
SPACE = re.compile(r"[ \t\n\v\f\r]+")  # ASCII only, as the server may treat other white space as letters
IDENTIFIER = re.compile(r"[A-Za-z_$\x80-\xff][A-Za-z0-9_$\x80-\xff]*")
NUMBER = re.compile(r"(?:0[xX][0-9a-fA-F]+|0[bB][01]+|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?|\.[0-9]+)")
VARIABLE = re.compile(r"@@?[A-Za-z0-9_$.\x80-\xff]*")
QUOTES = "'\"`"
ASSIGNMENT = ":="
SPACE_CODE = 32
DELETE_CODE = 127
FIRST_NON_ASCII = 0x80


class AmbiguousTextError(Exception):
    """The server may tokenize the text differently. The message says why."""


class TokenType(Enum):
    """The type of a token. Distinguishing keywords from unquoted identifiers would require a grammar."""

    IDENTIFIER = "identifier"
    QUOTED_IDENTIFIER = "quoted identifier"
    STRING = "string"
    NUMBER = "number"
    VARIABLE = "variable"
    SYMBOL = "symbol"


@dataclass(frozen=True, slots=True)
class Token:
    """One token. `text` is in upper case for unquoted identifiers, and without quotes for quoted tokens."""

    type: TokenType
    text: str

    def is_symbol(self, text: str) -> bool:
        """Whether it is this symbol, as opposed to a string with the same text."""
        return self.type is TokenType.SYMBOL and self.text == text


@dataclass(frozen=True, slots=True)
class LexerMode:
    """The session state that determines how statements are split into tokens."""

    ansi_quotes: bool = False
    no_backslash_escapes: bool = False
    charset: str = "utf8mb4"


def tokenize(data: bytes, mode: LexerMode) -> list[Token]:
    """Return all tokens of a statement, without comments.

    Raises:
        AmbiguousTextError: The server may tokenize the text differently.
    """
    if mode.charset not in ASCII_SAFE_CHARSETS and any(byte >= FIRST_NON_ASCII for byte in data):
        # In other character sets, a backslash or quote may be the second byte of a character. A string would
        # then end elsewhere for the server, and code would be mistaken for the contents of a string.
        raise AmbiguousTextError(f"characters of {mode.charset} beyond ASCII")
    return _Lexer(data.decode("latin-1"), mode).tokenize()


def split_at(tokens: Iterable[Token], symbol: str) -> list[list[Token]]:
    """Split tokens at each occurrence of a symbol. Returns at least one part; parts may be empty."""
    parts: list[list[Token]] = [[]]
    for token in tokens:
        if token.is_symbol(symbol):
            parts.append([])
        else:
            parts[-1].append(token)
    return parts


class _Lexer:
    """Tokenizes one text; `_offset` is the position of the next character."""

    def __init__(self, text: str, mode: LexerMode) -> None:
        self._text = text
        self._mode = mode
        self._offset = 0

    def tokenize(self) -> list[Token]:
        """Return all tokens. Raises AmbiguousTextError."""
        tokens = []
        while self._offset < len(self._text):
            if not self._skip_ignored():
                tokens.append(self._next_token())
        return tokens

    def _skip_ignored(self) -> bool:
        """Skip white space or a comment; returns False if there is neither."""
        space = SPACE.match(self._text, self._offset)
        if space is not None:
            self._offset = space.end()
            return True
        if self._text[self._offset] == "#" or self._at_dash_comment():
            line_end = self._text.find("\n", self._offset)
            self._offset = len(self._text) if line_end < 0 else line_end + 1
            return True
        if self._text.startswith("/*", self._offset):
            self._skip_block_comment()
            return True
        return False

    def _at_dash_comment(self) -> bool:
        """Whether a `--` comment starts here: white space, a control character or the end must follow."""
        if not self._text.startswith("--", self._offset):
            return False
        following = self._text[self._offset + 2 : self._offset + 3]
        return not following or ord(following) <= SPACE_CODE

    def _skip_block_comment(self) -> None:
        """Skip a comment that has no effect on the server. Raises AmbiguousTextError for any other."""
        if self._text.startswith(("/*!", "/*M!"), self._offset):
            raise AmbiguousTextError("a comment that some servers execute")
        close = self._text.find("*/", self._offset + 2)
        if close < 0:
            raise AmbiguousTextError("a comment that does not end")
        body = self._text[self._offset + 2 : close]
        if body.startswith("+") and "SET_VAR" in body.upper():
            raise AmbiguousTextError("a hint that sets a variable")
        if "/*" in body:
            raise AmbiguousTextError("a comment within a comment")
        self._offset = close + 2

    def _next_token(self) -> Token:
        char = self._text[self._offset]
        if char in QUOTES:
            token_type = TokenType.QUOTED_IDENTIFIER if self._quotes_identifier(char) else TokenType.STRING
            return Token(token_type, self._read_quoted())
        if char == "@":
            return self._read_variable()
        number = NUMBER.match(self._text, self._offset)
        if number is not None:
            return self._read_number(number)
        identifier = IDENTIFIER.match(self._text, self._offset)
        if identifier is not None:
            self._offset = identifier.end()
            return Token(TokenType.IDENTIFIER, identifier[0].upper())
        return self._read_symbol()

    def _quotes_identifier(self, quote: str) -> bool:
        return quote == "`" or (quote == '"' and self._mode.ansi_quotes)

    def _read_quoted(self) -> str:
        """Return the quoted text, each doubled quote as one quote; escapes are not decoded."""
        quote = self._text[self._offset]
        has_escapes = not self._quotes_identifier(quote) and not self._mode.no_backslash_escapes
        start = self._offset + 1
        offset = start
        while offset < len(self._text):
            char = self._text[offset]
            if char == "\\" and has_escapes:
                offset += 2
            elif char != quote:
                offset += 1
            elif self._text.startswith(quote, offset + 1):
                offset += 2
            else:
                self._offset = offset + 1
                return self._text[start:offset].replace(quote * 2, quote)
        raise AmbiguousTextError("a quotation that does not end")

    def _read_variable(self) -> Token:
        match = VARIABLE.match(self._text, self._offset)
        assert match is not None
        self._offset = match.end()
        if self._offset < len(self._text) and self._text[self._offset] in QUOTES:
            self._read_quoted()
        return Token(TokenType.VARIABLE, match[0])

    def _read_number(self, number: re.Match[str]) -> Token:
        suffix = IDENTIFIER.match(self._text, number.end())
        if suffix is None:
            self._offset = number.end()
            return Token(TokenType.NUMBER, number[0])
        # MySQL treats `1e` or `2nd` as identifiers that begin with a digit.
        self._offset = suffix.end()
        return Token(TokenType.QUOTED_IDENTIFIER, number[0] + suffix[0])

    def _read_symbol(self) -> Token:
        if self._text.startswith(ASSIGNMENT, self._offset):
            self._offset += len(ASSIGNMENT)
            return Token(TokenType.SYMBOL, ASSIGNMENT)
        char = self._text[self._offset]
        if ord(char) < SPACE_CODE or ord(char) == DELETE_CODE:
            raise AmbiguousTextError("a control character")
        self._offset += 1
        return Token(TokenType.SYMBOL, char)

"""Tokens of a statement, as MySQL's lexer cuts them (MySQL reference manual, "Language Structure").

Comments, quotes and escapes are where keywords hide, and they depend on the session: ANSI_QUOTES,
NO_BACKSLASH_ESCAPES, and character sets in which a backslash may be the second half of a character. Whatever
is not certain raises `Odd`; the reader then sends the statement to a primary.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

# In these no byte of ASCII is ever a part of another character. In gbk, big5, sjis and the like 0x5C may be.
SAFE = frozenset(
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
SPACE = re.compile(r"[ \t\n\v\f\r]+")  # ASCII's only: others may be letters to the server
WORD = re.compile(r"[A-Za-z_$\x80-\xff][A-Za-z0-9_$\x80-\xff]*")
NUMBER = re.compile(r"(?:0[xX][0-9a-fA-F]+|0[bB][01]+|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?|\.[0-9]+)")
VARIABLE = re.compile(r"@@?[A-Za-z0-9_$.\x80-\xff]*")


class Odd(Exception):
    """Text that is not certain to mean what it seems to; the words say why."""


class Type(Enum):
    WORD = "word"
    NAME = "name"  # quoted
    STRING = "string"
    NUMBER = "number"
    VARIABLE = "variable"
    SIGN = "sign"


@dataclass(frozen=True, slots=True)
class Token:
    """`text` is upper case for words, without its quotes for names and strings."""

    type: Type
    text: str


@dataclass(frozen=True, slots=True)
class Mode:
    """What of the session changes how its statements read."""

    ansi_quotes: bool = False
    no_backslash_escapes: bool = False
    charset: str = "utf8mb4"


def tokens(data: bytes, mode: Mode) -> list[Token]:
    """All tokens, comments left out. Raises Odd."""
    if mode.charset not in SAFE and any(byte >= 0x80 for byte in data):
        # Danger: in other sets a quote's escape may be half of a character, and the string goes on or ends
        # where this scanner does not see it.
        raise Odd(f"characters of {mode.charset} beyond ASCII")
    text = data.decode("latin-1")
    found: list[Token] = []
    at, end = 0, len(text)
    while at < end:
        if (space := SPACE.match(text, at)) is not None:
            at = space.end()
            continue
        char = text[at]
        if char == "#" or (char == "-" and starts_dashes(text, at)):
            line = text.find("\n", at)
            at = end if line < 0 else line + 1
        elif text.startswith("/*", at):
            at = comment(text, at)
        elif char in "'\"`":
            value, at = quoted(text, at, mode)
            name = char == "`" or (char == '"' and mode.ansi_quotes)
            found.append(Token(Type.NAME if name else Type.STRING, value))
        elif char == "@":
            match = VARIABLE.match(text, at)
            assert match is not None
            at = match.end()
            if at < end and text[at] in "'\"`":
                _, at = quoted(text, at, mode)
            found.append(Token(Type.VARIABLE, match[0]))
        elif (number := NUMBER.match(text, at)) is not None and not WORD.match(text, number.end()):
            found.append(Token(Type.NUMBER, number[0]))
            at = number.end()
        elif (word := WORD.match(text, at)) is not None:
            found.append(Token(Type.WORD, word[0].upper()))
            at = word.end()
        elif number is not None:
            # 1e, 2nd: MySQL takes such words for names that begin with a digit.
            tail = WORD.match(text, number.end())
            assert tail is not None
            found.append(Token(Type.NAME, number[0] + tail[0]))
            at = tail.end()
        elif text.startswith(":=", at):
            found.append(Token(Type.SIGN, ":="))
            at += 2
        elif ord(char) < 32 or ord(char) == 127:
            raise Odd("a control character")
        else:
            found.append(Token(Type.SIGN, char))
            at += 1
    return found


def starts_dashes(text: str, at: int) -> bool:
    """`--` begins a comment only before white space, a control character or the end."""
    return text.startswith("--", at) and (at + 2 >= len(text) or ord(text[at + 2]) <= 32)


def comment(text: str, at: int) -> int:
    """The place behind a comment that says nothing. Those with something to say raise Odd."""
    if text.startswith(("/*!", "/*M!"), at):
        raise Odd("a comment that some servers execute")
    close = text.find("*/", at + 2)
    if close < 0:
        raise Odd("a comment that does not end")
    body = text[at + 2 : close]
    if body.startswith("+") and "SET_VAR" in body.upper():
        raise Odd("a hint that sets a variable")
    if "/*" in body:
        raise Odd("a comment within a comment")
    return close + 2


def quoted(text: str, at: int, mode: Mode) -> tuple[str, int]:
    """What stands between quotes, and the place behind them. A doubled quote stands for itself."""
    quote, start = text[at], at + 1
    name = quote == "`" or (quote == '"' and mode.ansi_quotes)
    escapes = not name and not mode.no_backslash_escapes
    at = start
    while at < len(text):
        char = text[at]
        if char == "\\" and escapes:
            at += 2
        elif char != quote:
            at += 1
        elif text.startswith(quote, at + 1):
            at += 2
        else:
            return text[start:at].replace(quote * 2, quote), at + 1
    raise Odd("a quotation that does not end")

"""Parses scenario files and reports errors with line and column."""

from functools import cache
from pathlib import Path

from lark import Lark
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from papayabay_bench.scenarios.check import check_scenario
from papayabay_bench.scenarios.errors import Position, ScenarioError
from papayabay_bench.scenarios.reader import Reader

MAX_EXPECTED = 6
"""Number of expected words that an error message lists."""


@cache
def grammar():
    """Return the parser of the scenario language."""
    return Lark.open(
        "grammar.lark",
        rel_to=__file__,
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=True,
    )


def load_scenario(path):
    """Read a scenario from a file.

    Raises
    ------
    ScenarioError
        When the file can't be read or is no valid scenario.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(
            f"Can't read the file: {error}.", Position(1, 1), path
        ) from None
    return parse_scenario(text, str(path))


def parse_scenario(text, source="scenario"):
    """Parse and validate the text of a scenario.

    Raises
    ------
    ScenarioError
        For the first error in the text.
    """
    try:
        scenario = Reader(text).read(parse_tree(text))
        scenario.source = source
        check_scenario(scenario)
    except ScenarioError as error:
        error.source = source
        raise
    return scenario


def parse_tree(text):
    """Return the parse tree of a text."""
    try:
        return grammar().parse(text)
    except UnexpectedCharacters as error:
        found = text[error.pos_in_stream :].split()[0]
        raise unexpected_word(found, error.allowed, error.line, error.column) from None
    except UnexpectedEOF as error:
        raise unexpected_end(text, error.expected) from None
    except UnexpectedToken as error:
        if error.token.type == "$END":
            raise unexpected_end(text, error.accepts or error.expected) from None
        expected = error.accepts or error.expected
        raise unexpected_word(error.token, expected, error.line, error.column) from None


def unexpected_word(found, expected, line, column):
    """Return the error for a word that is not allowed at its position."""
    message = f"{found!s} is not allowed here; {list_expected(expected)}."
    return ScenarioError(message, Position(line, column))


def unexpected_end(text, expected):
    """Return the error for a text that ends too early."""
    lines = text.splitlines() or [""]
    position = Position(len(lines), len(lines[-1]) + 1)
    return ScenarioError(
        f"Unexpected end of file; {list_expected(expected)}.", position
    )


def list_expected(terminals):
    """Return text that lists the allowed terminals."""
    names = sorted(terminal_text(name) for name in terminals or () if name != "$END")
    if not names:
        return "expected the end of the file"
    more = " …" if len(names) > MAX_EXPECTED else ""
    return f"expected {', '.join(names[:MAX_EXPECTED])}{more}"


def terminal_text(terminal):
    """Return a terminal as it is written in a scenario."""
    words = {"LBRACE": "{", "RBRACE": "}", "EQUAL": "=", "DOT": ".", "COMMA": ","}
    return words.get(terminal) or terminal.lower().replace("_", "-")

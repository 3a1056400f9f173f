"""Reads scenario files; every fault is told with line and column."""

from functools import cache
from pathlib import Path

from lark import Lark
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from papayabay_bench.scenarios.check import check_scenario
from papayabay_bench.scenarios.errors import Position, ScenarioError
from papayabay_bench.scenarios.reader import Reader

MOST_EXPECTED = 6


@cache
def grammar():
    """Return the parser of the language."""
    return Lark.open(
        "grammar.lark",
        rel_to=__file__,
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=True,
    )


def load_scenario(path):
    """Return the scenario of a file.

    Raises
    ------
    ScenarioError
        With file, line, column and one sentence.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(
            f"It can't be read: {error}.", Position(1, 1), path
        ) from None
    return parse_scenario(text, str(path))


def parse_scenario(text, source="scenario"):
    """Return the scenario written in a text.

    Raises
    ------
    ScenarioError
        With source, line, column and one sentence.
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
        raise unexpected(found, error.allowed, error.line, error.column) from None
    except UnexpectedEOF as error:
        raise at_end(text, error.expected) from None
    except UnexpectedToken as error:
        if error.token.type == "$END":
            raise at_end(text, error.accepts or error.expected) from None
        expected = error.accepts or error.expected
        raise unexpected(error.token, expected, error.line, error.column) from None


def unexpected(found, expected, line, column):
    """Return the error of a word that can't stand where it does."""
    message = f"{found!s} can't stand here; {expectation(expected)}."
    return ScenarioError(message, Position(line, column))


def at_end(text, expected):
    """Return the error of a text that ends too early."""
    lines = text.splitlines() or [""]
    position = Position(len(lines), len(lines[-1]) + 1)
    return ScenarioError(f"The file ends too early; {expectation(expected)}.", position)


def expectation(terminals):
    """Return what would have been right, in words."""
    names = sorted(readable(name) for name in terminals or () if name != "$END")
    if not names:
        return "nothing more is expected"
    more = " …" if len(names) > MOST_EXPECTED else ""
    return f"expected {', '.join(names[:MOST_EXPECTED])}{more}"


def readable(terminal):
    """Return a terminal's name as a reader would write it."""
    words = {"LBRACE": "{", "RBRACE": "}", "EQUAL": "=", "DOT": ".", "COMMA": ","}
    return words.get(terminal) or terminal.lower().replace("_", "-")

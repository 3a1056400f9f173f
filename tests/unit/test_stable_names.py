"""Names that leave the process are still spoken by the source."""

import ast
import re
import unittest
from itertools import chain
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = ROOT / "tests" / "data" / "stable_names.txt"
WORD = re.compile(r"[A-Za-z_/][\w./:-]*")
ERROR_PREFIX = "urn:papayabay:error:"


def is_docstring(node):
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def outer_texts(tree):
    """Yield string constants and identifiers that serialisers write."""
    docstrings = {id(node.value) for node in ast.walk(tree) if is_docstring(node)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            value = node.value
            if isinstance(value, bytes):
                value = value.decode("latin-1")
            if isinstance(value, str):
                yield value
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id
        elif isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.ClassDef):
            yield node.name
            yield from enum_members(node)


def enum_members(node):
    for statement in node.body:
        if isinstance(statement, ast.Assign):
            for target in statement.targets:
                if isinstance(target, ast.Name):
                    name = target.id.lower()
                    yield name
                    yield ERROR_PREFIX + name.replace("_", "-")


def source_texts():
    for folder in ("packages", "platform", "deploy"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            yield from outer_texts(ast.parse(path.read_text()))
        for suffix in ("*.capnp", "*.toml", "*.lark"):
            for path in sorted((ROOT / folder).rglob(suffix)):
                yield path.read_text()


def stands_in(name, text):
    """Return whether a name stands in a text, and not within a longer word."""
    return re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text) is not None


class StableNamesTest(unittest.TestCase):
    def test_each_name_is_spoken_by_the_source(self):
        """Guards against renaming what clients, peers or stored data use."""
        texts = list(source_texts())
        words = set(chain(texts, *map(WORD.findall, texts)))
        whole = "\n".join(texts)
        missing = [
            name
            for name in NAMES.read_text().splitlines()
            if name not in words and not stands_in(name, whole)
        ]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()

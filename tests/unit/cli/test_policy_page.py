"""The documentation of the policy agrees with the policy's models."""

import json
import re
import unittest
from pathlib import Path

from papayabay_core.policy.document import (
    Admission,
    CallDeclaration,
    Decisions,
    Objective,
    PolicyDocument,
    Retries,
    RouteDeclaration,
    Routing,
    ServiceDeclaration,
    parse_policy,
)

PAGE = (Path(__file__).parents[3] / "docs" / "POLICY.md").read_text()
SECTIONS = {
    "The whole file": PolicyDocument,
    "`[services.NAME]`": ServiceDeclaration,
    "`[services.NAME.calls.NAME]`": CallDeclaration,
    "`[services.NAME.calls.NAME.objective]`": Objective,
    "`[[routes]]`": RouteDeclaration,
    "`[services.NAME.admission]`": Admission,
    "`[services.NAME.retries]`": Retries,
    "`[services.NAME.routing]`": Routing,
    "`[decisions]`": Decisions,
}
ROW = re.compile(r"^\| `([a-z_]+)[^`]*` \|(.*)\| (.+?) \|[^|]*\|$", re.MULTILINE)


def rows_of(section):
    """Return the default by key, from the first table of a section."""
    body = PAGE.split(f"\n## {section}\n")[1].split("\n## ")[0].split("\n### ")[0]
    return {key: default.strip("`") for key, _, default in ROW.findall(body)}


class PageTest(unittest.TestCase):
    def test_exactly_the_models_keys_are_documented(self):
        for section, model in SECTIONS.items():
            with self.subTest(section):
                self.assertEqual(rows_of(section).keys(), model.model_fields.keys())

    def test_documented_defaults_are_those_of_the_models(self):
        for section, model in SECTIONS.items():
            rows = rows_of(section)
            for name, field in model.model_fields.items():
                if isinstance(field.default, bool | int | float | str):
                    with self.subTest(f"{section} {name}"):
                        self.assertEqual(rows[name], json.dumps(field.default))
                elif field.is_required():
                    self.assertEqual(rows[name], "must be given")

    def test_example_is_valid(self):
        (example,) = re.findall(r"```toml\n(.*?)```", PAGE, re.DOTALL)
        rule = parse_policy(example).services["orders-svc"].calls["confirm"]
        self.assertEqual(rule.importance, "critical")

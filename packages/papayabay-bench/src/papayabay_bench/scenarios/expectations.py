"""The `expect` lines: which measures there are, and whether one holds."""

import operator
from dataclasses import dataclass

from papayabay_bench.scenarios.errors import ScenarioError
from papayabay_bench.scenarios.measures import MEASURES, WINDOWS

CLASS_NAMES = ("critical", "normal", "sheddable")
COMPARISONS = {">=": operator.ge, "<=": operator.le, "=": operator.eq}


@dataclass(frozen=True, slots=True)
class MeasureSelector:
    """Which measure, of which class and in which stretch."""

    measure: str
    importance: str | None
    window: str

    @property
    def text(self):
        """The measure as a scenario writes it."""
        words = (self.measure, self.importance or "", self.window)
        return " ".join(word for word in words if word)


def parse_selector(words, position):
    """Return the measure that words name.

    Raises
    ------
    ScenarioError
    """
    measure, *rest = words
    if measure not in MEASURES:
        known = ", ".join(MEASURES)
        raise ScenarioError(f"{measure} is no measure; there are {known}.", position)
    importance = next((word for word in rest if word in CLASS_NAMES), None)
    window = next((word for word in rest if word in WINDOWS), "")
    strange = [word for word in rest if word not in (importance, window)]
    if strange:
        message = f"{strange[0]} is neither an importance class nor a stretch."
        raise ScenarioError(message, position)
    return MeasureSelector(measure, importance, window or MEASURES[measure].window)


def check_expectation(scenario, expectation):
    """Raise unless an expectation can be judged.

    Raises
    ------
    ScenarioError
    """
    selector = parse_selector(expectation.words, expectation.position)
    if expectation.of_bound and selector.measure != "goodput":
        message = "Only goodput has a bound."
        raise ScenarioError(message, expectation.position)
    if selector.window != "whole" and scenario.trigger is None:
        message = f"Without a fault there is no stretch {selector.window}."
        raise ScenarioError(message, expectation.position)


@dataclass(slots=True)
class Verdict:
    """Whether an expectation held.

    Attributes
    ----------
    line : int
    text : str
        The line as written.
    measured : float or None
        None where nothing could be measured; that never holds.
    """

    line: int
    text: str
    measured: float | None
    holds: bool


def judge(run_data, expectation):
    """Return the verdict on an expectation.

    Parameters
    ----------
    run_data : RunData
    expectation : Expectation
    """
    selector = parse_selector(expectation.words, expectation.position)
    measured = measure(run_data, selector)
    if expectation.of_bound and measured is not None:
        bound = run_data.bound(run_data.windows[selector.window], selector.importance)
        measured = measured / bound if bound else None
    compare = COMPARISONS[expectation.comparison]
    holds = measured is not None and compare(measured, expectation.value)
    return Verdict(expectation.position.line, expectation.text, measured, holds)


def measure(run_data, selector):
    """Return a measure's value; None where there is nothing to measure."""
    window = run_data.windows.get(selector.window)
    if window is None:
        return None
    return MEASURES[selector.measure].compute(run_data, selector.importance, window)

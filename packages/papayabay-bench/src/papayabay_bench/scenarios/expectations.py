"""Validates and evaluates the `expect` lines of a scenario."""

import operator
from dataclasses import dataclass

from papayabay_bench.scenarios.errors import ScenarioError
from papayabay_bench.scenarios.measures import MEASURES, WINDOWS

CLASS_NAMES = ("critical", "normal", "sheddable")
COMPARISONS = {">=": operator.ge, "<=": operator.le, "=": operator.eq}


@dataclass(frozen=True, slots=True)
class MeasureSelector:
    """Name of a measure, with the class and the window to compute it for.

    Attributes
    ----------
    importance : str or None
        None for all classes.
    window : str
        One of `WINDOWS`.
    """

    measure: str
    importance: str | None
    window: str

    @property
    def text(self):
        """The selector as it is written in a scenario."""
        words = (self.measure, self.importance or "", self.window)
        return " ".join(word for word in words if word)


def parse_selector(words, position):
    """Return the selector that the words of an `expect` line name.

    Raises
    ------
    ScenarioError
        When a word is unknown.
    """
    measure, *rest = words
    if measure not in MEASURES:
        known = ", ".join(MEASURES)
        raise ScenarioError(
            f"Unknown measure {measure}; known measures: {known}.", position
        )
    importance = next((word for word in rest if word in CLASS_NAMES), None)
    window = next((word for word in rest if word in WINDOWS), "")
    unknown = [word for word in rest if word not in (importance, window)]
    if unknown:
        message = f"{unknown[0]} is neither an importance class nor a window."
        raise ScenarioError(message, position)
    return MeasureSelector(measure, importance, window or MEASURES[measure].window)


def check_expectation(scenario, expectation):
    """Check that an expectation can be evaluated for a scenario.

    Raises
    ------
    ScenarioError
    """
    selector = parse_selector(expectation.words, expectation.position)
    if expectation.of_bound and selector.measure != "goodput":
        message = "Only goodput can be compared with the bound."
        raise ScenarioError(message, expectation.position)
    if selector.window != "whole" and scenario.trigger is None:
        message = f"Without a fault there is no window {selector.window}."
        raise ScenarioError(message, expectation.position)


@dataclass(slots=True)
class Verdict:
    """The result of an expectation.

    Attributes
    ----------
    line : int
        Line number of the expectation.
    text : str
        The line as written.
    measured : float or None
        None when there is nothing to measure.
    holds : bool
        Whether the measured value met the expectation; False without one.
    """

    line: int
    text: str
    measured: float | None
    holds: bool


def evaluate(run_data, expectation):
    """Return the verdict on an expectation.

    Parameters
    ----------
    run_data : RunData
    expectation : Expectation
    """
    selector = parse_selector(expectation.words, expectation.position)
    measured = compute_measure(run_data, selector)
    if expectation.of_bound and measured is not None:
        bound = run_data.bound(run_data.windows[selector.window], selector.importance)
        measured = measured / bound if bound else None
    compare = COMPARISONS[expectation.comparison]
    holds = measured is not None and compare(measured, expectation.value)
    return Verdict(expectation.position.line, expectation.text, measured, holds)


def compute_measure(run_data, selector):
    """Return the value of a measure, or None if nothing can be measured."""
    window = run_data.windows.get(selector.window)
    if window is None:
        return None
    return MEASURES[selector.measure].compute(run_data, selector.importance, window)

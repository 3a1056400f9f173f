"""The error that an invalid scenario raises."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a scenario file; line and column start at 1."""

    line: int
    column: int


class ScenarioError(Exception):
    """A scenario file that can't be read or is invalid.

    Parameters
    ----------
    message : str
        What is wrong, in one sentence.
    position : Position
    source : str
        Name of the file; the parser sets it when it is not known yet.
    """

    def __init__(self, message, position, source=""):
        super().__init__(message)
        self.message = message
        self.position = position
        self.source = source

    def __str__(self):
        position = self.position
        return f"{self.source}:{position.line}:{position.column}: {self.message}"

"""Header fields of the target's answers that are forwarded to the caller.

As `filter_headers` of the doors, for messages that repeat the same names in
the same order: what is done with each field is found once for a sequence of
names, and all values are decoded and checked together.
"""

from dataclasses import dataclass
from functools import lru_cache

from papayabay_daemon._internal.doors.headers import (
    filter_headers,
    without_field,
)

MAX_PLANS = 64
"""Sequences of names that are cached; a target sends few different ones."""
CONTENT_LENGTH = "content-length"
PLAIN_CONNECTION = frozenset({"keep-alive", "close"})
"""Values of Connection fields that name no field to strip."""


@dataclass(frozen=True, slots=True)
class HeaderPlan:
    """What is done with the fields of heads with the same names.

    Attributes
    ----------
    names : tuple of (str or None)
        Name of each field that is forwarded, None for the others.
    without_length : tuple of (str or None)
        The same without Content-Length.
    connection : tuple of int
        Positions of the Connection fields.
    """

    names: tuple[str | None, ...]
    without_length: tuple[str | None, ...]
    connection: tuple[int, ...]


class AnswerHeaders:
    """Filters the header fields of answers.

    Parameters
    ----------
    names : HeaderNames
    """

    def __init__(self, names):
        self.names = names
        self.plan = lru_cache(maxsize=MAX_PLANS)(self.make_plan)

    def forwarded(self, head, keeps_length):
        """Return the fields to forward; see `filter_headers`.

        Parameters
        ----------
        head : Head
        keeps_length : bool
            Whether Content-Length is forwarded.

        Returns
        -------
        list of (str, str)

        Raises
        ------
        ValueError
        """
        if not head.fields:
            return []
        raw_names, raw_values = zip(*head.fields, strict=True)
        plan = self.plan(raw_names)
        if plan is None:
            return self.filter_one(head, keeps_length)
        # A NUL separates the values, and no value may contain one.
        text = b"\0".join(raw_values).decode("utf-8", "surrogateescape")
        values = text.split("\0")
        if len(values) != len(plan.names) or "\n" in text or "\r" in text:
            raise ValueError("a field has a line break or NUL")
        for position in plan.connection:
            if values[position].lower() not in PLAIN_CONNECTION:
                return self.filter_one(head, keeps_length)
        names = plan.names if keeps_length else plan.without_length
        return [
            (name, value)
            for name, value in zip(names, values, strict=True)
            if name is not None
        ]

    def filter_one(self, head, keeps_length):
        """Return the fields to forward without the cache."""
        headers = filter_headers(head.fields, self.names).forwarded
        return headers if keeps_length else without_field(headers, CONTENT_LENGTH)

    def make_plan(self, raw_names):
        """Return the plan for names; None if a single field is repeated."""
        names = [self.names.classify(name) for name in raw_names]
        keys = [name.key for name in names]
        if any(keys.count(key) > 1 for key in self.names.single):
            return None
        forwarded = [None if name.is_stripped else name.text for name in names]
        without_length = [
            None if key == CONTENT_LENGTH else text
            for key, text in zip(keys, forwarded, strict=True)
        ]
        connection = [n for n, key in enumerate(keys) if key == "connection"]
        return HeaderPlan(tuple(forwarded), tuple(without_length), tuple(connection))

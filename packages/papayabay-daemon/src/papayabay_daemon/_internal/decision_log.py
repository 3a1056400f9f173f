"""One line for each decision on a request: its inputs, and what came of it."""

import json
import time
from datetime import UTC, datetime

import orjson

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.log_lines import Allowance


class DecisionLog:
    """Writes what is decided on requests, as JSON lines.

    Parameters
    ----------
    writer : LineWriter or None
        None writes nothing.
    version : callable or None
        Returns the configuration version in force.
    clock : callable
        Seconds.
    """

    def __init__(self, writer=None, version=None, clock=now):
        self.writer = writer
        self.version = version
        self.allowance = Allowance(clock)

    @property
    def enabled(self):
        """Whether anything is written; inputs need not be gathered if not."""
        return self.writer is not None

    def record(self, decision, call_id, **inputs):
        """Write one decision.

        Parameters
        ----------
        decision : str
            Which kind, such as ``attempt``.
        call_id : str
            The request's identifier.
        inputs : dict
            What decided it, ages in milliseconds, and the outcome.
        """
        if not self.enabled or not self.allowance.take():
            return
        line = {
            "time": datetime.fromtimestamp(time.time(), UTC),
            "decision": decision,
            "request": call_id,
            "version": self.version(),
            **inputs,
        }
        left_out, self.allowance.left_out = self.allowance.left_out, 0
        if left_out or self.writer.dropped:
            line["left_out"] = left_out + self.writer.dropped
            self.writer.dropped = 0
        self.writer.keep(encode_line(line))

    def record_attempt(self, call, number, upstream, answer, elapsed):
        """Write where an attempt was sent, by what, and how it ended.

        A first attempt that was answered well gets no line: nothing was
        decided that anybody asks about later, and such lines were nine of
        ten. The histograms count them.

        Parameters
        ----------
        call : Call
        number : int
            Of the attempt, from 1.
        upstream : dict or None
            What was known of the chosen upstream; see `Router.explain`.
        answer : Answer or None
            None when it was cancelled.
        elapsed : float
            Seconds.
        """
        if number == 1 and answer is not None and is_good(answer):
            return
        self.record(
            "attempt",
            call.request_id,
            service=call.service,
            path=call.path_key,
            attempt=number,
            depth=call.depth,
            level=call.level,
            left_ms=round(call.remaining() * 1_000),
            upstream=upstream,
            outcome=outcome_of(answer),
            status=answer.status if answer else None,
            took_ms=round(elapsed * 1_000, 1),
        )

    def record_answer(self, call_id, answer, **inputs):
        """Write that a request ended with an answer of papayabay's own."""
        self.record(
            "answer",
            call_id,
            outcome=outcome_of(answer),
            effect=answer.effect.value,
            retry_after_ms=answer.retry_after_ms,
            **inputs,
        )


def encode_line(line):
    """Return a line as JSON with its end.

    Text that came over the wire may be no Unicode; the quick encoder refuses
    it, and a call must not end because nobody can write about it.
    """
    try:
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:
        return json.dumps(line, default=str).encode() + b"\n"


def is_good(answer):
    """Return whether a target gave an answer that tells of no failure."""
    return answer.kind is None and not answer.failed


def outcome_of(answer):
    """Return in a word how an attempt ended."""
    if answer is None:
        return "cancelled"
    return "answered" if answer.kind is None else answer.kind.name.lower()

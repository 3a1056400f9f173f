"""Logs decisions on requests as JSON lines, with their inputs and outcomes."""

import json
import time
from datetime import UTC, datetime

import orjson

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.errors import KIND_LABELS
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.log_lines import LineRateLimit


class DecisionLog:
    """Writes decisions on requests as JSON lines, at a limited rate.

    Parameters
    ----------
    writer : LineWriter or None
        None writes nothing.
    version : callable or None
        Returns the configuration version in force; not needed without a
        writer.
    clock : callable
        Returns seconds.

    Attributes
    ----------
    enabled : bool
        Whether lines are written; if not, no inputs need be collected.
    """

    def __init__(self, writer=None, version=None, clock=now):
        self.writer = writer
        self.enabled = writer is not None
        self.version = version
        self.rate_limit = LineRateLimit(clock)

    def acquire(self):
        """Return whether a line is to be written; if so, it must be written.

        Asked before the inputs of a line are collected: in an overload, most
        lines exceed the rate limit.
        """
        return self.writer is not None and self.rate_limit.acquire()

    def record(self, decision, call_id, collect=None, *args, **inputs):
        """Write one decision, as `write`, if the rate limit allows it.

        Parameters
        ----------
        decision, call_id : str
        collect : callable or None
            Returns the inputs as a dict; called only if the line is written.
        args : tuple
            Arguments of `collect`.
        inputs : dict
            The inputs if there is no `collect`.
        """
        if self.acquire():
            self.write_line(decision, call_id, collect(*args) if collect else inputs)

    def write(self, decision, call_id, **inputs):
        """Write one decision, as `write_line`, with its inputs by keyword."""
        self.write_line(decision, call_id, inputs)

    def write_line(self, decision, call_id, inputs):
        """Write one decision after `acquire` has returned True.

        Parameters
        ----------
        decision : str
            Kind of decision, such as ``attempt``.
        call_id : str
            The request's identifier.
        inputs : dict
            The inputs of the decision, with ages in milliseconds, and its
            outcome.
        """
        line = {
            "time": datetime.fromtimestamp(time.time(), UTC),
            "decision": decision,
            "request": call_id,
            "version": self.version(),
            **inputs,
        }
        suppressed, self.rate_limit.suppressed = self.rate_limit.suppressed, 0
        if suppressed or self.writer.dropped:
            line["left_out"] = suppressed + self.writer.dropped
            self.writer.dropped = 0
        self.writer.enqueue(encode_line(line))

    def record_attempt(self, call, number, upstream, answer, elapsed):
        """Write the upstream, the inputs and the outcome of an attempt.

        A successful first attempt gets no line. Such lines would be nine in
        ten and hold no decision worth tracing; the latency histograms count
        these attempts.

        Parameters
        ----------
        call : Call
        number : int
            Number of the attempt, from 1.
        upstream : dict or None
            What was known of the chosen upstream; see `Router.started`.
        answer : Answer or None
            None when the attempt was cancelled.
        elapsed : float
            Seconds.
        """
        if (
            number == 1
            and answer is not None
            and answer.kind is None
            and answer.status < SERVER_ERROR
        ):
            return
        if not self.acquire():
            return
        self.write(
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

    def write_answer(self, call_id, answer, inputs):
        """Write that papayabay itself answered a request, and why.

        Called after `acquire` has returned True. `inputs` are the fields of
        the request, as a dict.
        """
        fields = {
            "outcome": outcome_of(answer),
            "effect": answer.effect.text,
            "retry_after_ms": answer.retry_after_ms,
            **inputs,
        }
        self.write_line("answer", call_id, fields)


def encode_line(line):
    """Return a line as JSON with a newline.

    Text from the wire may be invalid Unicode, which orjson rejects; the
    standard encoder escapes it, so that a call does not fail on its log line.
    """
    try:
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:
        return json.dumps(line, default=str).encode() + b"\n"


def outcome_of(answer):
    """Return the name of an attempt's outcome; `answer` may be None."""
    if answer is None:
        return "cancelled"
    return "answered" if answer.kind is None else KIND_LABELS[answer.kind]

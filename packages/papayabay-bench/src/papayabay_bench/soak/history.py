"""Records of what clients and upstreams of a soak observed, by request."""

import json
import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """One request, as its sender and the upstreams saw it.

    Attributes
    ----------
    is_unsafe : bool
        Whether it may run once at most.
    runs, refusals : list of (float, str)
        When an upstream began to run it or refused it, and which upstream.
    answers : list of (float, int)
        When its sender got an answer, and the status.
    failures : list of (float, str)
        When it ended without an answer, and why.
    wrong_runs, wrong_answers : list of str
        Those of another request than this one.
    """

    method: str
    path: str
    body: bytes
    is_unsafe: bool
    sent_at: float
    runs: list = field(default_factory=list)
    refusals: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    failures: list = field(default_factory=list)
    wrong_runs: list = field(default_factory=list)
    wrong_answers: list = field(default_factory=list)


class History:
    """Records of all requests of a run.

    Attributes
    ----------
    requests : dict of str to RequestRecord
        By request id.
    unknown : list of str
        Ids of runs without a request.
    events : list of (float, str)
        Faults that were injected.
    counts : Counter
    """

    def __init__(self):
        self.started_at = time.monotonic()
        self.requests = {}
        self.unknown = []
        self.events = []
        self.counts = Counter()

    def restart_clock(self):
        """Count the times of the records from now on."""
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def record_event(self, text):
        """Record the begin or the end of a fault."""
        self.events.append((self.now(), text))

    def record_sent(self, request_id, method, path, body, is_unsafe):
        """Record a request before it is sent."""
        self.counts["sent"] += 1
        record = RequestRecord(method, path, body, is_unsafe, self.now())
        self.requests[request_id] = record

    def record_run(self, request_id, instance, method, path, body):
        """Record that an upstream begins to run a request."""
        self.counts["run"] += 1
        record = self.requests.get(request_id)
        if record is None:
            self.unknown.append(request_id)
            return
        record.runs.append((self.now(), instance))
        if (method, path, body) != (record.method, record.path, record.body):
            record.wrong_runs.append(f"run as {method} {path} with {len(body)} bytes")

    def record_refusal(self, request_id, instance, status):
        """Record that an upstream refuses a request."""
        self.counts["refused by upstreams"] += 1
        if record := self.requests.get(request_id):
            record.refusals.append((self.now(), f"{instance} {status}"))

    def record_copy(self):
        """Record that an upstream sends a refusal a second time."""
        self.counts["copies of refusals"] += 1

    def record_answer(self, request_id, message):
        """Record the answer that the sender of a request got."""
        self.counts[f"answered {message.status}"] += 1
        record = self.requests[request_id]
        record.answers.append((self.now(), message.status))
        is_own = message.body.endswith(record.path.encode())
        if message.status == 200 and not is_own:
            record.wrong_answers.append(f"answered with {message.body[:80]!r}")

    def record_failure(self, request_id, reason):
        """Record that a request ended without an answer."""
        self.counts["ended without an answer"] += 1
        self.requests[request_id].failures.append((self.now(), reason))

    def lines(self):
        """Yield all events and requests as lines of JSON, for a file."""
        for at, text in self.events:
            yield json.dumps({"at": round(at, 4), "event": text})
        for request_id, record in self.requests.items():
            yield json.dumps(
                {
                    "at": round(record.sent_at, 4),
                    "request": request_id,
                    "unsafe": record.is_unsafe,
                    "runs": record.runs,
                    "refusals": record.refusals,
                    "answers": record.answers,
                    "failures": record.failures,
                    "wrong_runs": record.wrong_runs,
                    "wrong_answers": record.wrong_answers,
                }
            )

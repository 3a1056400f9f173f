"""Histories that break one rule each, and near misses that break none."""

from papayabay_bench.history.limits import Limits
from papayabay_bench.history.records import (
    Answered,
    Arrival,
    Document,
    Effect,
    Fault,
    Invocation,
    PatchOutcome,
    PatchStored,
    PatchSubmitted,
    Sample,
)

LIMITS = Limits(retries=2, overload_hold_seconds=0.4)


def sent(attempt, at=0.0, key="", entry="e-0"):
    path = "/orders/1"
    return Invocation(attempt, "r", key, entry, "orders", "POST", path, 0, at)


def told(attempt, outcome="good", kind="", effect="run", at=1.0, status=503):
    status = 200 if outcome == "good" else status
    return Answered(attempt, outcome, status, kind, effect, at)


def arrived(attempt, nonce="r", end="answered", at=0.5, target="t-0", path="/orders/1"):
    return Arrival(target, "orders", attempt, nonce, path, end, 200, at, at + 0.1)


def effect(attempt, key="k", path="/orders/1", service="orders", at=0.6):
    return Effect("t-0", service, attempt, key, path, at)


def sample(version=1, refused=0, admitted=0, at=0.0, daemon="d-0", life=1):
    return Sample(daemon, life, version, refused, admitted, at, at + 0.01)


def fault(kind, subject, phase, at):
    return Fault(kind, subject, phase, at)


def stored(version, patch_id, changes=None, base=None):
    base = version - 1 if base is None else base
    return PatchStored(version, patch_id, base, changes or {}, 9.0)


def accepted(patch_id, version, at=1.0):
    return PatchOutcome(patch_id, "accepted", version, at)


BROKEN = {
    "answers": {
        "crossed to a caller": [sent("a"), told("a", "wrong")],
        "crossed to a target": [sent("a"), arrived("a", end="crossed")],
    },
    "at-most-once": {
        "two attempts of a key": [effect("a"), effect("b", at=0.8)],
        "one attempt, twice": [effect("a"), effect("a", at=0.8)],
        "no key, same attempt": [effect("a", key=""), effect("a", key="", at=2.0)],
    },
    "not-run": {
        "effect": [sent("a"), told("a", "error", "overloaded", "not-run"), effect("a")],
        "work without an effect": [
            sent("a"),
            arrived("a", end="failed"),
            told("a", "error", "overloaded", "not-run"),
        ],
        "undone, though the call below was run": [
            sent("a"),
            arrived("a", end="undone"),
            arrived("a", nonce="x.0"),
            told("a", "error", "refused-below", "not-run"),
        ],
        "effect after the answer": [
            sent("a"),
            told("a", "error", "leaving", "not-run"),
            effect("a", at=5.0),
        ],
    },
    "retries": {
        "at one hop": [sent("a"), *(arrived("a", at=n / 10) for n in range(4))],
        "summed over two hops": [
            sent("a"),
            *(arrived("a", nonce="r", at=n / 10) for n in range(2)),
            *(arrived("a", nonce="x.0", at=n / 10) for n in range(3)),
        ],
        "shed attempts count": [
            sent("a"),
            *(arrived("a", end="shed", at=n / 10) for n in range(4)),
        ],
    },
    "class-order": {
        "sheddable after critical": [
            sample(at=0.0),
            sample(refused=1, at=0.1),
            sample(refused=1, admitted=1, at=0.2),
        ],
    },
    "versions": {
        "fall": [sample(2, at=0.0), sample(1, at=0.1)],
        "late": [
            sample(0, at=0.0),
            accepted("p", 1, 1.0),
            stored(1, "p"),
            sample(0, at=7.5),
        ],
        "late after a pause": [
            sample(0, at=0.0),
            accepted("p", 1, 1.0),
            stored(1, "p"),
            fault("pause", "d-0", "begin", 1.0),
            fault("pause", "d-0", "end", 3.0),
            sample(0, at=9.5),
        ],
    },
    "configuration": {
        "two winners": [accepted("p", 1), accepted("q", 1), stored(1, "p")],
        "lost": [accepted("p", 1)],
        "replaced": [accepted("p", 1), stored(1, "q")],
        "silently merged": [
            PatchSubmitted("p", 0, "o", 0.0),
            accepted("p", 2),
            stored(1, "q"),
            stored(2, "p"),
        ],
        "called stale but stored": [
            PatchOutcome("p", "stale", 2, 1.0),
            stored(1, "p"),
        ],
        "gap": [stored(2, "p")],
        "another base": [stored(1, "p"), stored(2, "q", base=0)],
        "wrong document": [
            stored(1, "p", {"a": {"b": 1, "c": 2}}),
            stored(2, "q", {"a": {"b": None}}),
            Document("d-0", 2, {"a": {"b": 1, "c": 2}}, 9.5),
        ],
    },
    "leaving": {
        "withdrawn target": [
            fault("leave", "t-0", "begin", 1.0),
            sent("a", at=3.0),
            arrived("a", at=3.1),
        ],
        "drained daemon's target": [
            fault("drain", "t-0", "begin", 1.0),
            sent("a", at=3.0),
            arrived("a", at=3.1),
        ],
    },
    "lifetimes": {
        "run after its life": [sent("a"), arrived("a", at=1.5)],
        "another daemon's pause": [
            fault("pause", "d-9", "begin", 0.0),
            sent("a"),
            arrived("a", at=1.5),
        ],
    },
    "draining": {
        "connection cut": [
            fault("drain", "e-0", "begin", 0.5),
            sent("a", at=0.4),
            told("a", "cut", effect=""),
        ],
        "link lost": [
            fault("drain", "t-0", "begin", 0.5),
            sent("a", at=0.4),
            told("a", "error", "link-lost", "unknown"),
        ],
    },
    "asked": {
        "by nobody": [arrived("a")],
        "for something else": [sent("a"), arrived("a", path="/orders/2")],
    },
    "denied": {
        "the service is there": [
            sent("a"),
            told("a", "error", "unknown-service", "not-run", status=404),
        ],
    },
    "gone": {
        "run for nobody": [
            sent("a"),
            told("a", "timed-out", effect="", at=0.2),
            arrived("a", at=0.8),
        ],
    },
}
"""Histories that break exactly one rule, by rule and what happens."""

KEPT = {
    "own answers": [sent("a"), arrived("a"), told("a")],
    "each service's effect once": [
        effect("a"),
        effect("a", service="stock", path="/reserve"),
    ],
    "two keys": [effect("a", key="k"), effect("b", key="l")],
    "a repeat refused after the first ran": [
        sent("a", key="k"),
        effect("a"),
        sent("b", key="k", at=2.0),
        told("b", "error", "store-unavailable", "not-run", 2.1),
    ],
    "shed by the target": [
        sent("a"),
        arrived("a", end="shed"),
        told("a", "error", "target-shed", "not-run"),
    ],
    "undone, as its own call was refused": [
        sent("a"),
        arrived("a", end="undone"),
        told("a", "error", "refused-below", "not-run"),
    ],
    "unknown after an effect": [
        sent("a"),
        effect("a"),
        told("a", "error", "expired", "unknown"),
    ],
    "as many retries as allowed": [
        sent("a"),
        *(arrived("a", at=n / 10) for n in range(3)),
    ],
    "a call graph is no retry": [
        sent("a"),
        *(arrived("a", nonce=f"x.{n}") for n in range(9)),
    ],
    "refused and admitted between the same samples": [
        sample(at=0.0),
        sample(refused=1, admitted=1, at=0.1),
        sample(refused=1, admitted=1, at=0.2),
    ],
    "admitted after the hold": [
        sample(at=0.0),
        sample(refused=1, at=0.1),
        sample(refused=1, admitted=1, at=0.5),
    ],
    "a restart begins anew": [
        sample(5, refused=3, admitted=7, at=0.0),
        sample(0, at=1.0, life=2),
        sample(5, at=1.1, life=2),
    ],
    "in force just in time": [
        sample(1, at=0.0),
        accepted("p", 1, 1.0),
        stored(1, "p"),
        sample(1, at=6.9),
    ],
    "paused, so not late": [
        sample(0, at=0.0),
        accepted("p", 1, 1.0),
        stored(1, "p"),
        fault("pause", "d-0", "begin", 2.0),
        fault("pause", "d-0", "end", 8.0),
        sample(0, at=8.1),
    ],
    "one winner, one stale": [
        accepted("p", 1),
        PatchOutcome("q", "stale", 1, 1.0),
        PatchOutcome("u", "unknown", 0, 1.0),
        stored(1, "p", {"a": {"b": 1}}),
        Document("d-0", 1, {"a": {"b": 1}}, 9.5),
    ],
    "unknown, then settled as accepted": [
        PatchOutcome("p", "unknown", 0, 1.0),
        accepted("p", 1, 2.0),
        stored(1, "p"),
    ],
    "work within two seconds of leaving": [
        fault("leave", "t-0", "begin", 1.0),
        sent("a", at=2.8),
        arrived("a", at=2.9),
    ],
    "work after coming back": [
        fault("leave", "t-0", "begin", 1.0),
        fault("leave", "t-0", "end", 4.0),
        sent("a", at=4.0),
        arrived("a", at=4.1),
    ],
    "unread at a paused entry": [
        fault("pause", "e-0", "begin", 0.0),
        sent("a", at=0.1),
        fault("pause", "e-0", "end", 2.0),
        arrived("a", at=2.1),
    ],
    "refused while draining": [
        fault("drain", "e-0", "begin", 0.5),
        sent("a", at=0.6),
        told("a", "unconnected", effect=""),
        sent("b", at=0.6),
        told("b", "error", "leaving", "not-run"),
    ],
    "cut by a kill, not by the drain": [
        fault("kill", "t-1", "begin", 0.2),
        fault("kill", "t-1", "end", 0.3),
        fault("drain", "t-0", "begin", 0.5),
        sent("a", at=0.4),
        told("a", "error", "link-lost", "unknown"),
    ],
    "run as the client left": [
        sent("a"),
        told("a", "timed-out", effect="", at=0.2),
        arrived("a", at=0.6),
    ],
    "run for the key's next attempt": [
        sent("a", key="k"),
        told("a", "timed-out", effect="", at=0.2),
        arrived("a", at=0.8),
    ],
    "told to come back, and that the body differs": [
        sent("a"),
        told("a", "error", "retries-spent", "not-run", status=429),
        sent("b"),
        told("b", "error", "key-conflict", "not-run", status=422),
    ],
    "denied by the target itself": [sent("a"), told("a", "error", status=404)],
}
"""Near misses: histories that look alike and keep every rule."""

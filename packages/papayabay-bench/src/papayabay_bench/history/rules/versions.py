"""Checks that policy versions only increase and come into force in time."""

from itertools import groupby

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import PatchOutcome, Sample
from papayabay_bench.history.rules.slot_grants import process_key
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "versions"
ACCEPTED = "accepted"
ABSENCES = ("pause", "kill", "drain")


def violations(history, limits):
    """Yield daemons whose version decreased or was not updated in time."""
    samples = sorted(history.of_type(Sample), key=process_key)
    for (daemon, _), group in groupby(samples, key=process_key):
        process_samples = sorted(group, key=lambda sample: sample.time)
        yield from version_decreases(daemon, process_samples)
        yield from late_versions(
            history, daemon, process_samples, limits.propagation_seconds
        )


def version_decreases(daemon, samples):
    """Yield each decrease of a daemon process's version."""
    for before, after in zip(samples, samples[1:], strict=False):
        if after.version < before.version:
            reason = f"version went back from {before.version} to {after.version}"
            yield Violation(RULE, daemon, reason, [before, after])


def late_versions(history, daemon, samples, longest):
    """Yield the accepted patches that came into force too late at a daemon.

    The time limit starts with the patch's acceptance, the first sample of
    this process or the end of the daemon's last absence, whichever is last.
    """
    absences = [
        one for one in fault_intervals(history, *ABSENCES) if one.subject == daemon
    ]
    accepted = [one for one in history.of_type(PatchOutcome) if one.outcome == ACCEPTED]
    for outcome in accepted:
        for sample in samples:
            since = max(outcome.time, samples[0].time)
            since = max(
                [since, *(one.end for one in absences if one.start <= sample.time)]
            )
            if sample.version < outcome.version and sample.asked > since + longest:
                reason = f"version {outcome.version} not in force within {longest} s"
                yield Violation(RULE, daemon, reason, ordered_trace([outcome, sample]))
                break

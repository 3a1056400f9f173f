"""Refuses quarantined requests, and runs suspects one at a time."""

import hashlib

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints

CRASH_ID_BYTES = 8
ISOLATED_RETRY_MS = 300
"""Retry delay of a suspect that is refused because another one runs."""


class QuarantineGate:
    """Admission control by the quarantine registry.

    Checked at the entry, where a refusal is cheapest, and beside the target,
    whose daemon may have received an update that the entry has not.

    Parameters
    ----------
    settings : DaemonSettings
    registry : QuarantineRegistry
    log : DecisionLog
    is_on : callable
        Returns whether policy has quarantine enabled.
    """

    def __init__(self, settings, registry, log, is_on):
        self.vm = settings.vm.name
        self.fingerprints = Fingerprints(settings)
        self.registry = registry
        self.log = log
        self.is_on = is_on
        self.running_suspect = None
        self.counters = {"refused": 0, "isolated": 0}

    def check(self, call):
        """Admit a call unless its request is quarantined.

        Returns
        -------
        bytes or None
            Its fingerprint; None if the registry is empty or quarantine is
            disabled.

        Raises
        ------
        CallError
            QUARANTINED, with the remaining TTL.
        """
        registry = self.registry
        if not (registry.crashes_of or registry.entries) or not self.is_on():
            return None
        fingerprint = self.fingerprints.of(call)
        ttl_s = self.registry.remaining_ttl(fingerprint)
        if not ttl_s:
            return fingerprint
        self.counters["refused"] += 1
        crashes = self.registry.entries[fingerprint].crash_count
        self.log_refusal(call, fingerprint, "held back", crashes)
        name = fingerprint.hex()
        detail = f"{crashes} targets have ended under it; held back as {name}"
        raise CallError(ErrorKind.QUARANTINED, detail, round(ttl_s * 1_000))

    def start_run(self, call):
        """Admit a call to the target, and let suspects run one at a time.

        If two suspects were in flight, a crash would not show which of them
        caused it.

        Returns
        -------
        bool
            Whether it is a suspect; then `end_run` must follow. Not a context
            manager, which would take ten function calls for each call.

        Raises
        ------
        CallError
            QUARANTINED, or ISOLATED while another suspect runs.
        """
        registry = self.registry
        if not (registry.crashes_of or registry.entries):
            return False
        fingerprint = self.check(call)
        if fingerprint is None or not registry.is_suspect(fingerprint):
            return False
        if self.running_suspect is not None:
            self.counters["isolated"] += 1
            crashes = len(registry.suspected_crashes(fingerprint))
            self.log_refusal(call, fingerprint, "another suspect runs", crashes)
            raise CallError(ErrorKind.ISOLATED, retry_after_ms=ISOLATED_RETRY_MS)
        self.running_suspect = fingerprint
        return True

    def end_run(self):
        """Let another suspect run."""
        self.running_suspect = None

    def log_refusal(self, call, fingerprint, outcome, crashes):
        """Log why a call was refused."""
        self.log.record(
            "quarantine",
            call.request_id,
            outcome=outcome,
            fingerprint=fingerprint.hex(),
            ends=crashes,
            held_ms=round(self.registry.remaining_ttl(fingerprint) * 1_000),
        )

    def record_answer(self, call):
        """Exonerate the request of a call that got a complete answer."""
        registry = self.registry
        if registry.crashes_of or registry.entries:
            registry.exonerate(self.fingerprints.of(call))

    def target_crashed(self, crash):
        """Record a crash of the target, with the calls in flight."""
        started = {}
        for call in crash.calls:
            latest = started.get(call.fingerprint, call.started_at)
            started[call.fingerprint] = max(latest, call.started_at)
        self.registry.add_crash(self.crash_id(crash), started)

    def crash_id(self, crash):
        """Return a unique identifier of the process that crashed."""
        text = "\0".join((self.vm, *map(str, crash.process)))
        return hashlib.blake2b(text.encode(), digest_size=CRASH_ID_BYTES).digest()

    def gauges(self):
        """Return the size of the registry, for metrics."""
        return self.registry.gauges()

    def list_entries(self):
        """Return the quarantined requests as plain values."""
        return [
            {
                "fingerprint": fingerprint.hex(),
                "targets_ended": entry.crash_count,
                "held_s": round(ttl_s, 1),
            }
            for fingerprint, entry in self.registry.entries.items()
            if (ttl_s := self.registry.remaining_ttl(fingerprint))
        ]

    def lift(self, text):
        """Release a request; return whether it was quarantined.

        Parameters
        ----------
        text : str
            Its fingerprint in hexadecimal digits.

        Raises
        ------
        ValueError
            If the text is not hexadecimal.
        """
        return self.registry.exonerate(bytes.fromhex(text))

"""Where requests that are held back, or suspected, are kept from targets."""

import hashlib
from contextlib import contextmanager

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints

END_BYTES = 8
ISOLATED_RETRY_MS = 300
"""When a suspect may come back that found another one running."""


class QuarantineGate:
    """Refuses requests by what the book says of them.

    Asked where a request enters, which is cheap, and beside the target, which
    is the last place: only one that neither daemon has heard of passes.

    Parameters
    ----------
    settings : DaemonSettings
    book : QuarantineBook
    log : DecisionLog
    is_on : callable
        Says whether policy wants requests held back.
    """

    def __init__(self, settings, book, log, is_on):
        self.vm = settings.vm.name
        self.fingerprints = Fingerprints(settings)
        self.book = book
        self.log = log
        self.is_on = is_on
        self.alone = None
        self.counters = {"refused": 0, "isolated": 0}

    def check(self, call):
        """Let a call pass unless its request is held back.

        Returns
        -------
        bytes or None
            Its fingerprint; None while no request is suspected of anything.

        Raises
        ------
        CallError
            QUARANTINED, with the time that is left.
        """
        if self.book.is_empty or not self.is_on():
            return None
        fingerprint = self.fingerprints.of(call)
        held_s = self.book.held_for(fingerprint)
        if not held_s:
            return fingerprint
        self.counters["refused"] += 1
        ends = self.book.verdicts[fingerprint].open_ends
        self.note(call, fingerprint, "held back", ends)
        detail = f"{ends} targets have ended under it; held back as {fingerprint.hex()}"
        raise CallError(ErrorKind.QUARANTINED, detail, round(held_s * 1_000))

    @contextmanager
    def passing(self, call):
        """Let a call on to the target beside this daemon, suspects one by one.

        Two suspects that run side by side would both be blamed for the next
        end, and neither could be told from the other.

        Raises
        ------
        CallError
            QUARANTINED, or ISOLATED while another suspect runs.
        """
        fingerprint = self.check(call)
        if fingerprint is None or not self.book.is_suspect(fingerprint):
            yield
            return
        if self.alone is not None:
            self.counters["isolated"] += 1
            ends = len(self.book.blamed_for(fingerprint))
            self.note(call, fingerprint, "another suspect runs", ends)
            raise CallError(ErrorKind.ISOLATED, retry_after_ms=ISOLATED_RETRY_MS)
        self.alone = fingerprint
        try:
            yield
        finally:
            self.alone = None

    def note(self, call, fingerprint, outcome, ends):
        """Write why a call was refused."""
        self.log.note(
            "quarantine",
            call.request_id,
            outcome=outcome,
            fingerprint=fingerprint.hex(),
            ends=ends,
            held_ms=round(self.book.held_for(fingerprint) * 1_000),
        )

    def answered(self, call):
        """Note that a call got a whole answer from its target."""
        if not self.book.is_empty:
            self.book.clear(self.fingerprints.of(call))

    def target_ended(self, end):
        """Note a target's end and what was at work in it."""
        begun = {}
        for work in end.calls:
            before = begun.get(work.fingerprint, work.begun)
            begun[work.fingerprint] = max(before, work.begun)
        self.book.add_end(self.name_of(end), begun)

    def name_of(self, end):
        """Return a name of the process that ended, no other one's."""
        text = "\0".join((self.vm, *map(str, end.process)))
        return hashlib.blake2b(text.encode(), digest_size=END_BYTES).digest()

    def levels(self):
        """Return how much is held back, for metrics."""
        return self.book.levels()

    def listed(self):
        """Return the requests that are held back, as plain values."""
        return [
            {
                "fingerprint": fingerprint.hex(),
                "targets_ended": verdict.open_ends,
                "held_s": round(held_s, 1),
            }
            for fingerprint, verdict in self.book.verdicts.items()
            if (held_s := self.book.held_for(fingerprint))
        ]

    def lift(self, text):
        """Hold a request back no longer; return whether it was.

        Parameters
        ----------
        text : str
            Its fingerprint in hexadecimal digits.

        Raises
        ------
        ValueError
            When it is no such text.
        """
        return self.book.clear(bytes.fromhex(text))

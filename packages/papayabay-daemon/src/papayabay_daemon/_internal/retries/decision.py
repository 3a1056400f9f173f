"""Whether an attempt's end is followed by another attempt."""

from collections import Counter
from dataclasses import dataclass, field

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, Effect, ErrorKind

FIRST_PAUSE_SECONDS = 0.010
"""Longest backoff before the second attempt."""
MAX_PAUSE_DOUBLINGS = 6
MOST_REJECTED_DOUBLINGS = 1
"""The same after a target rejected a call with slots free, where a longer
backoff would relieve nobody."""
LIFE_SHARE = 0.25
"""Largest part of the remaining lifetime that a backoff may take."""
EXPIRED_STATUS = 504
RETRY = "again"
"""Reason of a decision that lets another attempt follow."""
KEPT_FROM_TARGET = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.LEAVING,
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.RETRIES_SPENT,
        ErrorKind.LIFETIME_TOO_SHORT,
        ErrorKind.EXPIRED_UNSENT,
        ErrorKind.LINK_UNAVAILABLE,
        ErrorKind.QUARANTINED,
        ErrorKind.ISOLATED,
    }
)
"""Outcomes of attempts that never reached a target. The next attempt is then
the first to arrive, and does not count as a retry at its service."""


@dataclass(slots=True)
class Attempts:
    """What was tried for one call so far.

    Attributes
    ----------
    made : int
    tried : set of str
        Upstreams that had an attempt and get no other.
    rejected : set of str
        Those of them that turned it away with slots free.
    reached_target : bool
        Whether any of them reached a target, be it to be turned away.
    possibly_run : int
        Attempts that a target may have begun to run.
    last_possibly_run : Answer or None
        Of the latest of these.
    """

    made: int = 0
    tried: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    reached_target: bool = False
    possibly_run: int = 0
    last_possibly_run: Answer | None = None

    def ended(self, name, answer):
        """Note how an attempt at an upstream ended."""
        self.made += 1
        self.tried.add(name)
        self.reached_target |= answer.kind not in KEPT_FROM_TARGET
        if answer.kind is ErrorKind.TARGET_REJECTED:
            self.rejected.add(name)
        if answer.effect is not Effect.NOT_RUN:
            self.possibly_run += 1
            self.last_possibly_run = answer

    def forget_rejections(self):
        """Admit the upstreams that rejected it as choices again.

        A target that rejects calls with slots free does so at random: another
        attempt has the same chance there as the first.

        Returns
        -------
        bool
            Whether there were any.
        """
        forgotten, self.rejected = self.rejected, set()
        self.tried -= forgotten
        return bool(forgotten)


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether another attempt follows.

    Attributes
    ----------
    reason : str
        Why none does; `RETRY` if one does.
    backoff_s : float
        Seconds to wait before it.
    """

    reason: str
    backoff_s: float = 0.0

    @property
    def should_retry(self):
        """Whether another attempt follows."""
        return self.reason == RETRY


class RetryRules:
    """The rules for repeating attempts, switched by `decisions.retries`.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    ratio : RetryRatio
    random : random.Random
    has_other : callable
        Takes a call and the names already tried; says whether another
        upstream would take it.
    """

    def __init__(self, policy_source, ratio, random, has_other):
        self.policy_source = policy_source
        self.ratio = ratio
        self.random = random
        self.has_other = has_other
        self.stops = Counter()

    def record_first_attempt(self, call):
        """Note the first attempt of a call; it earns toward the ratio.

        Calls of a run that was itself a repeat earn nothing: had the run not
        been repeated, they would not come.
        """
        if not call.repeated:
            self.ratio.record_first_attempt(call.service)

    def decide(self, call, answer, attempts, account):
        """Decide whether another attempt follows, and pay for it.

        Parameters
        ----------
        call : Call
        answer : Answer
            How the attempt ended; a `CallError` of the link is turned into
            an answer first. Its `exhausted` is set when it is to be passed
            on and no daemon above may repeat the call.
        attempts : Attempts
            Made so far, this one too.
        account : CreditAccount
            Of the call at this daemon; one credit is spent on a retry.

        Returns
        -------
        RetryDecision
        """
        decisions = self.policy_source().decisions
        if call.attempts and attempts.possibly_run >= call.attempts:
            reason = "attempts"
        elif decisions.retries == "per-hop":
            if may_repeat_per_hop(call, answer, attempts.made, decisions):
                return RetryDecision(RETRY, self.backoff_s(call, attempts.made))
            return RetryDecision("per-hop")
        else:
            reason = self.objection(call, answer, account, attempts)
        if not reason:
            rejected = answer.kind is ErrorKind.TARGET_REJECTED
            most = MOST_REJECTED_DOUBLINGS if rejected else MAX_PAUSE_DOUBLINGS
            return RetryDecision(RETRY, self.backoff_s(call, attempts.made, most))
        self.stops[reason] += 1
        answer.exhausted = is_exhausted(answer, attempts.made)
        return RetryDecision(reason)

    def objection(self, call, answer, account, attempts):
        """Return why not to retry, or "" after paying for a retry."""
        if answer.kind is None and not failed_by_itself(answer):
            return "answered"
        if answer.kind is not None and not ERROR_ANSWERS[answer.kind].retry_elsewhere:
            return "final"
        if answer.exhausted:
            return "exhausted-below"
        if is_unsafe(call, answer):
            return "effect-unknown"
        if not call.body.is_complete:
            return "body-streamed"
        if call.remaining() <= 0.0:
            return "expired"
        if not self.has_another(call, attempts):
            return "no-other"
        # Checked before the ratio spends a token that no retry would use.
        if account.balance < 1:
            return "no-credit"
        if not self.ratio.allow(call.service):
            return "ratio"
        account.spend()
        return ""

    def has_another(self, call, attempts):
        """Whether an upstream would take a further attempt."""
        if self.has_other(call, attempts.tried):
            return True
        again = attempts.forget_rejections()
        return again and self.has_other(call, attempts.tried)

    def backoff_s(self, call, attempts, most_doublings=MAX_PAUSE_DOUBLINGS):
        """Return a fully jittered pause, a small share of the life left."""
        doublings = min(attempts - 1, most_doublings)
        longest = FIRST_PAUSE_SECONDS * 2**doublings
        bounded = min(longest, max(0.0, call.remaining()) * LIFE_SHARE)
        return self.random.uniform(0.0, bounded)


def may_repeat_per_hop(call, answer, attempts, decisions):
    """Return whether the baseline repeats, as plain relays do at each hop.

    It promises nothing about the number of retries over the chain, but
    never runs again what must run at most once.
    """
    return (
        attempts <= decisions.per_hop_retries
        and answer.failed
        and answer.kind is not ErrorKind.EXPIRED
        and call.body.is_complete
        and call.remaining() > 0.0
        and not is_unsafe(call, answer)
    )


def failed_by_itself(answer):
    """Return whether a target failed, and not one that it called.

    An upstream may fail a part of its calls while it looks healthy; another
    one would have served them. A failure that comes from further down would
    only come again, with all the work between.
    """
    expired = answer.status == EXPIRED_STATUS
    return answer.failed and not (expired or answer.exhausted)


def is_unsafe(call, answer):
    """Return whether running the call again might double its effect."""
    return answer.effect is not Effect.NOT_RUN and not call.idempotent


def is_exhausted(answer, attempts):
    """Return whether nobody above may repeat the call.

    A refusal for overload belongs to the lowest daemon with another way.
    Were it repeated above as well, each level would multiply the load of
    the overloaded service; one would see more retries the deeper the chain.
    """
    if answer.kind is None:
        return answer.exhausted
    return answer.exhausted or attempts > 1 or answer.kind is ErrorKind.OVERLOADED

"""Recognises requests that come back at the time that they were told."""

from collections import deque
from dataclasses import dataclass

import xxhash

MAX_RESERVATIONS = 4_096
RESERVATION_TTL_SECONDS = 5.0
EARLY_TOLERANCE_SECONDS = 0.002
"""A request that is so early counts as in time: times are told in whole
milliseconds, and a client's timer may be a millisecond early."""


@dataclass(slots=True, eq=False)
class Reservation:
    """A time at which a refused request was told to come back.

    Attributes
    ----------
    digest : int
    due_at : float
    expires_at : float
    is_used : bool
        Whether a request has come back for it.
    """

    digest: int
    due_at: float
    expires_at: float
    is_used: bool = False


class Reservations:
    """The return times told here, by digest of the request.

    The client's next attempt has another id, so that it is recognised by its
    account, method, path and body. Where clients send the same request, each
    may use the reservation of another; no more are used than were made.
    """

    def __init__(self):
        self.by_digest = {}
        self.in_order = deque()

    def __bool__(self):
        return bool(self.in_order)

    def add(self, digest, due_at, now):
        """Add a reservation; drop the oldest one if there are too many."""
        if len(self.in_order) >= MAX_RESERVATIONS:
            self.drop_oldest()
        reservation = Reservation(digest, due_at, now + RESERVATION_TTL_SECONDS)
        self.in_order.append(reservation)
        self.by_digest.setdefault(digest, deque()).append(reservation)

    def take(self, digest, now):
        """Use the oldest reservation of a digest.

        Returns
        -------
        bool or None
            Whether it is due; a reservation that is not is kept. None if there
            is no reservation.
        """
        reservations = self.by_digest.get(digest)
        if reservations is None:
            return None
        reservation = reservations[0]
        if now < reservation.due_at - EARLY_TOLERANCE_SECONDS:
            return False
        reservation.is_used = True
        self.remove_first(digest, reservations)
        return True

    def expire(self, now):
        """Drop the reservations whose TTL has ended."""
        while self.in_order and self.in_order[0].expires_at <= now:
            self.drop_oldest()

    def drop_oldest(self):
        """Drop the oldest reservation, used or not."""
        oldest = self.in_order.popleft()
        if not oldest.is_used:
            # Reservations of one digest are used in order, so it is the first.
            self.remove_first(oldest.digest, self.by_digest[oldest.digest])

    def remove_first(self, digest, reservations):
        """Remove the first reservation of a digest."""
        reservations.popleft()
        if not reservations:
            del self.by_digest[digest]


def request_digest(call):
    """Return the digest of a call's account, method, path and body.

    A body that is not complete in memory is left out.

    Parameters
    ----------
    call : Call
        The root call of a request.
    """
    head = f"{call.account}\n{call.method}\n{call.path}\n".encode()
    digest = xxhash.xxh3_64_intdigest(head)
    if not call.body.is_complete or not call.body.first:
        return digest
    return xxhash.xxh3_64_intdigest(call.body.first, digest)

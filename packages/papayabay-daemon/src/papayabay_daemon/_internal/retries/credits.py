"""Accounts for the retry credits of a call and of its attempts."""


class CreditAccount:
    """Retry credits of one call at one daemon.

    A credit is always in one place: in this balance, granted to an attempt, or
    spent. Granting debits the balance, so the sum over a request's call tree
    never exceeds what its entry minted, without any shared state.

    Parameters
    ----------
    balance : int
        Credits received with the call, or minted at its entry.
    """

    __slots__ = ("balance", "closed", "spent")

    def __init__(self, balance):
        self.balance = balance if balance > 0 else 0
        self.spent = 0
        self.closed = False

    def grant(self):
        """Debit and return the credits that are sent with one attempt.

        The attempt gets the larger half. The rest stays here for a retry in
        case the attempt's answer, and its credits with it, are lost. A last
        credit is granted, because a retry at the lowest daemon repeats the
        least work: of 3 credits the entry and the first hop keep one each, and
        the third reaches the failing hop however deep the chain is. Sequential
        calls each get the larger half, since unused credits are refunded in
        between; of parallel calls, later ones get less.

        Returns
        -------
        int
        """
        granted = (self.balance + 1) // 2
        self.balance -= granted
        return granted

    def refund(self, unused):
        """Credit what an answered attempt did not spend.

        Parameters
        ----------
        unused : int
            Credits left according to the answer. The caller of this method
            bounds them by the grant: a peer that returned more would raise the
            whole request's limit. Nothing is refunded for a lost answer.
        """
        if self.closed:
            # The balance was already returned with this call's own answer.
            # No retry of this call could use a late refund; a caller's retry
            # with the same key would find too many credits.
            return
        self.balance += max(0, unused)

    def spend(self):
        """Spend one credit on a retry; return False if the balance is 0."""
        if self.balance < 1:
            return False
        self.balance -= 1
        self.spent += 1
        return True

    def close(self):
        """Close the account and return the unused credits for the answer."""
        unused, self.balance, self.closed = self.balance, 0, True
        return unused

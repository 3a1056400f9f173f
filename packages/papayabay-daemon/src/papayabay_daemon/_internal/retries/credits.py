"""The retry credits that one call holds and splits among its own calls."""


class CreditAccount:
    """Retry credits of one call at one daemon.

    A credit is always in one place: held here, granted to an attempt, or
    spent. Granting takes it out, so the sum over a request's tree never
    exceeds what its entry minted, without any shared state.

    Parameters
    ----------
    balance : int
        Credits that came with the call, or were minted at its entry.
    """

    __slots__ = ("closed", "balance", "spent")

    def __init__(self, balance):
        self.balance = max(0, balance)
        self.spent = 0
        self.closed = False

    def grant(self):
        """Take out and return the credits that go with one attempt.

        The attempt gets the larger half. The kept half stays here for a
        repeat when the attempt's answer, and the credits with it, are lost.
        A last credit goes along, because the lowest daemon repeats the
        least work: of 3 credits the entry and the first hop keep one each
        and the third reaches the failing hop however deep the chain is.
        Calls made one after another all get the larger half, since unused
        credits come back in between; of parallel ones, the later get less.

        Returns
        -------
        int
        """
        granted = (self.balance + 1) // 2
        self.balance -= granted
        return granted

    def refund(self, unused):
        """Take back what an answered attempt did not spend.

        Parameters
        ----------
        unused : int
            What its answer says is left, but never more than was granted:
            a peer that returns more would raise the whole request's bound.
            Nothing is given back for a lost answer.
        """
        if self.closed:
            # The rest was already sent to the caller with this call's own
            # answer. A late answer's credits would be held by nobody who
            # can use them; a repeat of the key would then find too many.
            return
        self.balance += max(0, unused)

    def spend(self):
        """Spend one credit on a repeat; return False when none is held."""
        if self.balance < 1:
            return False
        self.balance -= 1
        self.spent += 1
        return True

    def close(self):
        """End the account and return the unused credits for the answer."""
        unused, self.balance, self.closed = self.balance, 0, True
        return unused

"""A common time base for the periodic checks of a daemon."""

import asyncio


class Ticker:
    """Aligns periodic tasks, so that those due together share a wake-up.

    A wake-up of an idle process costs far more than the checks themselves.
    The time base starts at the first use: different daemons of one machine
    keep different phases and do not all wake up at the same moment.

    Attributes
    ----------
    origin : float or None
        Start of the time base, on the loop's clock.
    """

    def __init__(self):
        self.origin = None

    async def sleep(self, period):
        """Sleep until the next multiple of a period.

        A multiple less than half a period away is skipped, so that a late
        wake-up is not followed by one that is nearly immediate.

        Parameters
        ----------
        period : float
            Seconds.
        """
        moment = asyncio.get_running_loop().time()
        if self.origin is None:
            self.origin = moment
        left = period - (moment - self.origin) % period
        await asyncio.sleep(left if left >= period / 2 else left + period)

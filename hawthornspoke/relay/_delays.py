"""How long reports wait on their way: seen without a common clock."""

#: Seconds after which the least delay seen is taken to be out of date. Clocks of
#: two hosts drift apart by less than a millisecond in this time.
LEAST_KEPT = 30.0


class Delays:
    """Delay of each sender's reports over the least that was seen of it.

    A link that has become narrow, or that pieces of weights fill, shows nowhere
    but in what crosses it. Requests that are sent over it reach the engine up to two
    seconds later, some after their callers have left.
    """

    __slots__ = ("_least_by_sender",)

    def __init__(self):
        self._least_by_sender = {}

    def note(self, sender, *, sent, now):
        """Take a report.

        Parameters
        ----------
        sender : str
        sent : float
            Seconds on a clock of the sender that goes on while it is suspended; else
            its reports would seem late ever after.
        now : float
            Seconds on the same kind of clock of this host.

        Returns
        -------
        float
            Seconds by which this report was slower than the quickest one.
        """
        apart = now - sent
        least, seen_at = self._least_by_sender.get(sender, (apart, now))
        if apart <= least or now >= seen_at + LEAST_KEPT:
            least, seen_at = apart, now
            self._least_by_sender[sender] = (least, seen_at)
        return apart - least

    def forget(self, sender):
        """Forget a sender: it may come back with another clock."""
        self._least_by_sender.pop(sender, None)

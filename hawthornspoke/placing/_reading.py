"""Prompts that an engine has yet to read, as far as one entry host can tell.

Answers the load of crowds: after a gap, or while engines change their weights, a dozen
callers reach one engine within a tenth of a second. It has slots for all of them, but
it reads their prompts one after the other, and the last one's first token comes half a
second late. Loads in slots don't show that.
"""

#: Requests between two reports that came from nobody known and don't count: one that
#: this host has sent reaches the engine after the report that follows it was made.
IN_FLIGHT_ALLOWANCE = 1

#: Seconds from which a report tells too little of when the requests since came.
MAX_REPORT_INTERVAL = 1.0


class PrefillBacklog:
    """Until when an engine reads the prompts that are known to be there.

    Attributes
    ----------
    until : float
    """

    __slots__ = ("busy_until",)

    def __init__(self):
        self.busy_until = float("-inf")

    def left(self, now):
        """Return the seconds of reading that are left.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return max(0.0, self.busy_until - now)

    def add(self, seconds, now):
        """Take a prompt that was sent there.

        Parameters
        ----------
        seconds : float
            That the engine needs to read it.
        now : float
        """
        self.busy_until = max(self.busy_until, now) + seconds

    def add_remote_requests(self, *, growth, age, usual_seconds, now):
        """Take a report of a load that has grown by requests of other hosts.

        Parameters
        ----------
        grown : int
            Requests more than were told and sent before.
        age : float or None
            Seconds since the report before; None if there was none.
        usual : float
            Seconds to read a usual prompt.
        now : float
        """
        if (
            age is not None
            and age < MAX_REPORT_INTERVAL
            and growth > IN_FLIGHT_ALLOWANCE
        ):
            self.add((growth - IN_FLIGHT_ALLOWANCE) * usual_seconds, now)

"""How long one incarnation of an endpoint is cold."""

import math

from hawthornspoke.slow_start._send_slots import SendSlots

#: Seconds after which an entry that arrives was surely written after an event that this
#: host has seen itself.
ENTRY_DELAY = 1.0

#: After the cold time, the share of this host doubles at the start of each RAMP_STEP
#: seconds, without a limit from RAMP_TIME on.
RAMP_STEP = 0.2
RAMP_TIME = 1.0


class ColdState:
    """Until when an endpoint is cold, and what this host has sent to it meanwhile.

    Its entries in the endpoint list state the remaining time. Where an endpoint may
    have become cold before an entry states so, it is assumed to be cold; such an
    assumption ends early only by an entry that was written after it.

    Attributes
    ----------
    deadline : float
        End of the cold time; ``-math.inf`` if it was never cold.
    send_slots : SendSlots
    """

    __slots__ = ("deadline", "send_slots", "_assumed_at")

    def __init__(self):
        self.deadline = -math.inf
        self.send_slots = SendSlots()
        self._assumed_at = -math.inf

    def observe_entry(self, cold_left, now):
        """Update from an entry that has arrived.

        It was written before, so the deadline is rather too late than too early.

        Parameters
        ----------
        cold_left : float
            Seconds for which the endpoint was still cold; 0 if it wasn't.
        now : float
        """
        may_be_older = now < self._assumed_at + ENTRY_DELAY
        if may_be_older:
            if cold_left > 0:
                self._set_deadline(max(self.deadline, now + cold_left), now)
            return
        self._assumed_at = -math.inf
        if cold_left > 0:
            self._set_deadline(now + cold_left, now)
        else:
            self.deadline = min(self.deadline, now)

    def assume(self, seconds, now):
        """Treat the endpoint as cold from now on, until a newer entry says otherwise.

        Parameters
        ----------
        seconds : float
            Time for which it is cold after a start; 0 if that isn't known yet.
        now : float
        """
        self._assumed_at = now
        self.set_assumed_time(seconds, now)

    def set_assumed_time(self, seconds, now):
        """Apply the time of a start to an assumption that still holds, if any.

        Parameters
        ----------
        seconds : float
            As in ``assume``.
        now : float
        """
        if seconds > 0:
            self._set_deadline(max(self.deadline, self._assumed_at + seconds), now)

    def is_cold(self, now):
        """Return whether the endpoint is cold."""
        return now < self.deadline

    def restricts(self, now):
        """Return whether it is cold, or was until a moment ago."""
        return now < self.restricted_until

    @property
    def restricted_until(self):
        """End of the ramp after the cold time."""
        return self.deadline + RAMP_TIME

    def ramp_factor(self, now):
        """Return the multiple of this host's share that it may send.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
            1 while the endpoint is cold.
        """
        if self.is_cold(now):
            return 1
        return 2 ** (1 + int((now - self.deadline) / RAMP_STEP))

    def _set_deadline(self, deadline, now):
        if self.deadline <= now < deadline:
            # The grids of all hosts are fine at the end of a ramp. If they went on from
            # there, their next slots would begin together.
            self.send_slots = SendSlots()
        self.deadline = deadline

    def dump(self, *, now):
        """Return the remaining seconds, 0 if it isn't cold."""
        return round(max(0.0, self.deadline - now), 3)

"""Times at which this host may send a request to a cold endpoint."""

import math

#: Seconds after the start of a slot within which its request must be sent. A slot that
#: stayed open until the next one would be credit, which many hosts may use at once when
#: the endpoints that they prefer have become full.
OPEN_TIME = 0.5


class SendSlots:
    """A grid of slots, each for one request, that starts at a random phase.

    Hosts learn together that an endpoint is cold, so slots that began at once would
    bring their first requests together. A slot that isn't used is lost.
    """

    __slots__ = ("_start", "_is_used", "_grid_ends_at")

    def __init__(self):
        self._start = math.inf
        self._is_used = False
        self._grid_ends_at = -math.inf

    def advance(self, now, *, spacing, ends_at, rng):
        """Move on to the latest slot.

        Parameters
        ----------
        now : float
        spacing : float
            Current seconds between the starts of two slots.
        ends_at : float
            Time until which requests are restricted, as far as is known.
        rng : random.Random
        """
        is_over = now >= self._grid_ends_at
        self._grid_ends_at = ends_at
        if is_over or self._start > now + spacing:
            # In the second case the spacing has become shorter.
            self._start = now + spacing * rng.random()
            self._is_used = False
            return
        passed = (now - self._start) // spacing
        if passed >= 1:
            self._start += passed * spacing
            self._is_used = False

    def is_open(self, now):
        """Return whether a request may be sent in the current slot."""
        return not self._is_used and self._start <= now < self.closes_at

    def take(self):
        """Use the current slot; return the time by which its request must be sent."""
        self._is_used = True
        return self.closes_at

    def next_at(self, now, *, spacing):
        """Return the start of the next open slot.

        Parameters
        ----------
        now : float
        spacing : float
            As in the last ``advance``.

        Returns
        -------
        float
        """
        if self.is_open(now):
            return now
        return self._start if self._start > now else self._start + spacing

    @property
    def closes_at(self):
        """End of the current slot."""
        return self._start + OPEN_TIME

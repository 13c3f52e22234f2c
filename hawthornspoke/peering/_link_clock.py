"""Clock readings that both sides of a connection exchange."""

from collections import deque

from hawthornspoke.base import ClockOffset
from hawthornspoke.protocol import ClockReading

#: Seconds between the bounds of an offset above which readings are exchanged again: a
#: message waited in a queue, or the last exchange was long ago.
MAX_UNCERTAINTY = 0.05

#: Minimum and maximum seconds between two requests for a reading, and the factor by
#: which the pause grows. On a link that always takes long, repeating them doesn't help;
#: on one with a queue, the clocks are compared soon after it is gone.
REQUEST_PAUSE = 0.5
MAX_REQUEST_PAUSE = 30.0
PAUSE_GROWTH = 1.25

#: Seconds before and after an exchange within which both clocks are taken to have run:
#: that of a virtual machine may stand still, which only the next exchange shows.
MAX_EXCHANGE_AGE = 5.0

#: Readings that are kept, of which the other side may name one.
MAX_SENT_READINGS = 8

MICROSECONDS = 1_000_000


class LinkClock:
    """Bounds times on the clock of the process at the other end of a connection.

    Readings that can't be right are ignored. If readings contradict each other, a clock
    was set or stood still: the newest one is used, for messages made after it, and the
    clocks are compared again. A message made long after the last exchange is only known
    to be made after it, until the clocks are compared again.

    Parameters
    ----------
    on_unusable : callable or None, default=None
        Called with a reason, once, if the other side sends something unusable.
    """

    __slots__ = (
        "_on_unusable",
        "_offset",
        "_sent_us",
        "_first_received_us",
        "_received_us",
        "_requested_us",
        "_last_request_at",
        "_request_pause",
        "_exact_until",
        "_is_confirmed",
        "_exchange",
        "_is_exchange_wanted",
    )

    def __init__(self, *, on_unusable=None):
        self._on_unusable = on_unusable
        self._offset = ClockOffset()
        self._sent_us = deque(maxlen=MAX_SENT_READINGS)
        self._first_received_us = None
        self._received_us = None
        self._requested_us = None
        self._last_request_at = float("-inf")
        self._request_pause = REQUEST_PAUSE
        self._exact_until = float("-inf")
        self._is_confirmed = True
        self._exchange = None
        self._is_exchange_wanted = False

    @property
    def uncertainty(self):
        """Seconds between the bounds of the offset; infinite without an exchange."""
        return self._offset.uncertainty

    @property
    def is_exact(self):
        """Whether the last exchange was not delayed by a queue."""
        return self.uncertainty <= MAX_UNCERTAINTY

    @property
    def is_supported(self):
        """Whether the other side has sent a reading."""
        return self._received_us is not None

    @property
    def is_exchange_wanted(self):
        """Whether the clocks are to be compared again, however closely known."""
        return self._is_exchange_wanted

    @property
    def reached_until(self):
        """Until when messages of others have reached the other side, as far as known.

        The last exchange shows that a message of this process had arrived. Messages of
        others may take as much longer as the exchange took.
        """
        if self._exchange is None:
            return float("-inf")
        return self._exchange.sent_at - self._exchange.seconds

    def want_exchange(self):
        """Let the clocks be compared again although they are known closely."""
        self._is_exchange_wanted = True

    def want_exchange_for(self, made_us, now):
        """Let the clocks be compared again if that dates a message more closely.

        Parameters
        ----------
        made_us : int or None
            As the message states it; None if it doesn't.
        now : float
            Seconds of ``boottime_clock``.
        """
        if made_us is None or self._exchange is None:
            return
        is_recent = self._offset.latest(made_us / MICROSECONDS) > now - MAX_EXCHANGE_AGE
        if is_recent and not self._exchange.is_recent_to(made_us):
            self.want_exchange()

    def request(self, now):
        """Return a reading that asks for one of the other side, if that is due.

        Parameters
        ----------
        now : float
            Seconds of ``boottime_clock``, which was read just before.

        Returns
        -------
        ClockReading or None
        """
        is_exact = self._is_confirmed and now < self._exact_until
        if is_exact and not self._is_exchange_wanted:
            return None
        self._offset.loosen(now)
        if not self._is_request_due(now):
            return None
        return self._reading(now, answer_wanted=True)

    def receive(self, reading, *, now):
        """Take a reading of the other side.

        Parameters
        ----------
        reading : ClockReading
        now : float
            Seconds of ``boottime_clock``, which was read after the reading arrived.

        Returns
        -------
        ClockReading or None
            The answer to send.
        """
        if not self._is_valid(reading):
            self._report_unusable(f"invalid reading: {reading}"[:200])
            return None
        if self._first_received_us is None:
            self._first_received_us = reading.sent_us
        self._received_us = reading.sent_us
        self._offset.loosen(now)
        if reading.echo_us is not None:
            self._add_exchange(reading, now)
        if not reading.answer_wanted:
            return None
        return self._reading(now, answer_wanted=self._is_request_due(now))

    def made_between(self, made_us, now):
        """Return bounds on the time at which the other side made a message.

        Parameters
        ----------
        made_us : int or None
            As the message states it; None if it doesn't.
        now : float
            Seconds of ``boottime_clock``, which was read after the message arrived.

        Returns
        -------
        tuple of float
            Earliest and latest time on this process's clock. Without an exchange of
            readings, the earliest one is negative infinity and the latest one ``now``.
            If the message was made long after the last exchange, the earliest one is
            the start of this exchange; see ``want_exchange_for``.
        """
        if made_us is None or self._first_received_us is None:
            return float("-inf"), now
        earliest = self._offset.earliest(made_us / MICROSECONDS)
        # Readings are rounded down.
        latest = self._offset.latest((made_us + 1) / MICROSECONDS)
        if earliest > now or made_us < self._first_received_us:
            self._report_unusable(f"invalid time of a message: {made_us}")
            return float("-inf"), now
        if earliest == float("-inf"):
            return float("-inf"), now
        if not self._exchange.is_recent_to(made_us):
            return self._exchange.earliest(made_us), now
        return earliest, min(latest, now)

    def _is_valid(self, reading):
        if reading.sent_us is None or reading.sent_us < 0:
            return False
        if self._received_us is not None and reading.sent_us < self._received_us:
            return False
        return reading.echo_us is None or reading.echo_us in self._sent_us

    def _add_exchange(self, reading, now):
        is_consistent = self._offset.add_exchange(
            # Both readings are rounded down, which moves the lower bound only.
            sent_at=(reading.echo_us - 1) / MICROSECONDS,
            reading=reading.sent_us / MICROSECONDS,
            received_at=now,
        )
        if not is_consistent:
            self._is_confirmed = False
            # The new offset doesn't hold for messages that were made before.
            self._first_received_us = reading.sent_us
            self._request_pause = REQUEST_PAUSE
            self._report_unusable(f"contradictory reading: {reading}"[:200])
        self._exchange = _Exchange(
            sent_at=(reading.echo_us - 1) / MICROSECONDS,
            reading_us=reading.sent_us,
            ended_at=now,
        )
        if self._exchange.seconds <= MAX_EXCHANGE_AGE:
            self._is_exchange_wanted = False
        if self._requested_us is not None and reading.echo_us >= self._requested_us:
            self._requested_us = None
        if is_consistent:
            self._is_confirmed = True
        if self.is_exact:
            self._request_pause = REQUEST_PAUSE
            self._exact_until = now + self._offset.seconds_until(MAX_UNCERTAINTY)

    def _is_request_due(self, now):
        if self._requested_us is not None:
            return False
        if self._is_exchange_wanted:
            return now >= self._last_request_at + REQUEST_PAUSE
        if self.is_exact and self._is_confirmed:
            return False
        return now >= self._last_request_at + self._request_pause

    def _reading(self, now, *, answer_wanted):
        sent_us = int(now * MICROSECONDS)
        self._sent_us.append(sent_us)
        if answer_wanted:
            self._requested_us = sent_us
            self._last_request_at = now
            self._request_pause = min(
                MAX_REQUEST_PAUSE, PAUSE_GROWTH * self._request_pause
            )
        return ClockReading(
            sent_us=sent_us,
            echo_us=self._received_us,
            answer_wanted=answer_wanted or None,
        )

    def _report_unusable(self, reason):
        if self._on_unusable is not None:
            self._on_unusable(reason)
            self._on_unusable = None


class _Exchange:
    """A reading of the other side, and the time in which it was asked for and arrived.

    Parameters
    ----------
    sent_at, ended_at : float
        Seconds on the clock of this process.
    reading_us : int
        Microseconds on the other clock.
    """

    __slots__ = ("sent_at", "reading_us", "ended_at")

    def __init__(self, *, sent_at, reading_us, ended_at):
        self.sent_at = sent_at
        self.reading_us = reading_us
        self.ended_at = ended_at

    @property
    def seconds(self):
        """How long the exchange took, in seconds."""
        return self.ended_at - self.sent_at

    def is_recent_to(self, made_us):
        """Return whether a message was made shortly before or after the exchange."""
        distance = abs(made_us - self.reading_us) / MICROSECONDS
        return max(distance, self.seconds) <= MAX_EXCHANGE_AGE

    def earliest(self, made_us):
        """Return when a message was made at the earliest, by the order of events."""
        return self.sent_at if made_us >= self.reading_us else float("-inf")

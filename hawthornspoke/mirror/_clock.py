"""Lower bounds on the write times of rows, from answers of the platform."""

import collections

from hawthornspoke.base import ClockOffset
from hawthornspoke.catalog import UNKNOWN_TIME
from hawthornspoke.mirror._revision import era_of, is_newer, is_newer_in_era

#: Maximum number of answers kept: about ten seconds at three per second.
MAX_ANSWERS = 32

#: Resolution, in seconds, of the platform's time in an answer.
TIME_RESOLUTION = 0.001


class PlatformClock:
    """Computes lower bounds on the write times of rows, on the clock of this host.

    All transactions of the platform share one revision counter, and each answer
    contains its value. A row with a higher revision was therefore written after the
    platform read its tables for that answer, and that was after the query was sent.
    Neither the arrival of an answer nor the platform's time in it is a lower bound: a
    slow platform may read its tables, wait and then read its clock.

    The platform's clock only relates times that hosts exchange through its tables to
    the clock of this host. The platform reads it after a query was sent and before its
    answer arrived, so that each answer bounds the difference between the clocks. If its
    clock is set, the bounds start anew from the first answer that shows it.

    A restore of the store begins a new era, in which its clock may show another time
    and its revisions are given out again. Nothing is derived from another era's
    answers.
    """

    __slots__ = ("_offset", "_answers", "_newest_revision")

    def __init__(self):
        self._newest_revision = 0
        self._clear()

    def _clear(self):
        self._offset = ClockOffset()
        # Pairs of a revision and the earliest time at which it was the newest.
        self._answers = collections.deque(maxlen=MAX_ANSWERS)

    def add_answer(
        self, *, asked_at, made_at, revision, read_at=None, received_at=float("inf")
    ):
        """Add an answer of the platform.

        Parameters
        ----------
        asked_at : float
            When the query was sent, in seconds on the clock of this host.
        made_at : float or None
            When the platform made the answer, in seconds on its own clock, if the
            answer states it.
        revision : int
            Revision of the newest transaction when the platform read its tables.
        read_at : float or None, default=None
            Lower bound on the time at which the platform read its tables, in seconds on
            the clock of this host; ``asked_at`` if None.
        received_at : float, default=inf
            When the answer arrived, in seconds on the clock of this host.
        """
        if era_of(revision) != era_of(self._newest_revision):
            if is_newer(self._newest_revision, revision):
                return
            self._clear()
        self._newest_revision = revision
        if made_at is not None:
            self._offset.add_exchange(
                sent_at=asked_at,
                reading=made_at,
                received_at=received_at,
                resolution=TIME_RESOLUTION,
            )
        self._answers.append((revision, asked_at if read_at is None else read_at))

    @property
    def era(self):
        """Era of the answers, the unknown one before the first."""
        return era_of(self._newest_revision)

    def answer_time_bound(self, made_at, *, received_at):
        """Return a lower bound on this host's time at a time of the platform.

        Parameters
        ----------
        made_at : float
            Seconds on the platform's clock, in the current era.
        received_at : float
            Seconds on the clock of this host. The result is never later, whatever the
            platform's clock says.

        Returns
        -------
        float
            Seconds on the clock of this host.
        """
        return min(self._offset.earliest(made_at), received_at)

    def earliest_platform_time(self, at):
        """Return a lower bound on the platform's time at a time of this host.

        Parameters
        ----------
        at : float
            Seconds on the clock of this host.

        Returns
        -------
        float or None
            Seconds on the platform's clock in the current era; None if not known.
        """
        if self._offset.high == float("inf"):
            return None
        return self._offset.earliest_reading(at)

    def write_time_bound(self, revision):
        """Return a lower bound on the time at which a row was written.

        Parameters
        ----------
        revision : int
            Revision of the transaction that wrote the row.

        Returns
        -------
        float
            Seconds on the clock of this host; ``UNKNOWN_TIME`` if no answer is known
            for which the platform read its tables before.
        """
        return max(
            (
                read_at
                for seen, read_at in self._answers
                if is_newer_in_era(revision, seen)
            ),
            default=UNKNOWN_TIME,
        )

"""From when what a table says may date, by the platform's own clock."""

#: Seconds between a question and the platform's answer from which the answer waited
#: for a change. If there is one already the platform answers in some milliseconds,
#: but the question itself may wait 0.2 s on a link full of pieces.
HELD_FROM = 0.3

#: Seconds that the platform may take from a change to the answer that tells of it.
ANSWER_SLACK = 0.05


class PlatformClock:
    """Tells when the platform made its answers, on a clock of this host.

    An answer with a large configuration takes some tenths of a second over a narrow
    link. If the moment at which it arrives were taken for the moment of the change,
    every process would grant old weights that time beyond their bound.

    The platform can't make an answer before it is asked, so each answer bounds the
    difference between the clocks from below; the quickest question bounds it best.
    """

    __slots__ = ("_offset",)

    def __init__(self):
        self._offset = float("-inf")

    def note(self, *, asked_at, made_at):
        """Take an answer.

        Parameters
        ----------
        asked_at : float
            On the clock of this host.
        made_at : float
            When the platform made the answer, on its own clock.
        """
        self._offset = max(self._offset, asked_at - made_at)

    def earliest(self, made_at, *, received_at):
        """Return a moment on this host's clock before which an answer was not made.

        Parameters
        ----------
        made_at : float
        received_at : float
            On the clock of this host; no answer is later than its arrival, whatever
            the platform's clock says.

        Returns
        -------
        float
        """
        return min(made_at + self._offset, received_at)


def held_since(*, asked_at, made_at):
    """Return since when the platform's answer held nothing back.

    Parameters
    ----------
    asked_at, made_at : float
        On the same clock.

    Returns
    -------
    float or None
        A moment before which what is new was not written; None if it may have been
        written before the platform was asked.
    """
    if made_at - asked_at < HELD_FROM:
        return None
    return made_at - ANSWER_SLACK

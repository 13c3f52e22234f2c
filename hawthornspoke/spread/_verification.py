"""Time limits for the verification of staged pieces."""

from hawthornspoke.base import boottime_clock

#: Seconds from the start of a piece's verification to the latest time at which an order
#: that relies on it is sent. The process may be suspended at any point in between, and
#: the piece may become corrupt meanwhile.
VERIFICATION_TTL = 1.2


class PieceVerification:
    """When the staged pieces of a version were verified, each by a read of its own.

    Parameters
    ----------
    weights : Weights
    """

    __slots__ = ("weights", "_deadline_by_index")

    def __init__(self, *, weights):
        self.weights = weights
        self._deadline_by_index = {}

    def record(self, index, requested_at):
        """Record that the engine returned a piece intact.

        Parameters
        ----------
        index : int
        requested_at : float
            When the piece was requested, in seconds of ``boottime_clock``. The engine
            read it at some time after that; nothing is known of later times.
        """
        self._deadline_by_index[index] = requested_at + VERIFICATION_TTL

    def discard(self, index):
        """Record that a piece is missing or corrupt."""
        self._deadline_by_index.pop(index, None)

    def expired_indices(self):
        """Return the indices of the pieces that have to be verified, or verified again.

        Returns
        -------
        list of int
        """
        now = boottime_clock()
        return [
            index
            for index in range(len(self.weights.digests))
            if now >= self._deadline_by_index.get(index, float("-inf"))
        ]

    def deadline(self):
        """Return the time until which all verified pieces count as intact.

        Returns
        -------
        float
            Seconds of ``boottime_clock``, negative infinity if none is verified.
        """
        return min(self._deadline_by_index.values(), default=float("-inf"))

"""Connections that ended although nothing was due to end them."""

import collections
import enum
import math

#: Seconds for which a loss is remembered.
RETENTION = 5.0

#: Maximum number of losses that are remembered.
MAX_LOSSES = 4096


class LostState(enum.StrEnum):
    """What a connection was used for when its peer ended it."""

    IDLE = "idle"
    WAITING = "waiting"
    ANSWERED_IN_PART = "answered_in_part"


class ConnectionLoss:
    """The end of one connection."""

    __slots__ = ("address", "at")

    def __init__(self, *, address, at):
        self.address, self.at = address, at


class ConnectionLosses:
    """Recent losses of connections to other processes.

    A peer that closes a connection at its idle timeout, after a response that announces
    the close, or at the end of a response without framing loses nothing. Neither does
    one that resets a connection in use, to break off a response.
    """

    __slots__ = ("_losses",)

    def __init__(self):
        self._losses = collections.deque(maxlen=MAX_LOSSES)

    def record(self, address, *, now):
        """Record the loss of a connection.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of its other end.
        now : float
            Seconds of any clock that doesn't go back.
        """
        while self._losses and self._losses[0].at < now - RETENTION:
            self._losses.popleft()
        self._losses.append(ConnectionLoss(address=address, at=now))

    def count_by_address(self, *, since, until=math.inf):
        """Return the number of losses in a time by the address of their peer.

        Parameters
        ----------
        since : float
            Within ``RETENTION``, on the clock of ``record``.
        until : float, default=math.inf

        Returns
        -------
        collections.Counter of str to int
        """
        return collections.Counter(
            loss.address for loss in self._losses if since <= loss.at <= until
        )

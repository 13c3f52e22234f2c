"""Pure state machines: the shape all decisions share."""

from hawthornspoke.base._registry import Registry
from hawthornspoke.base._validation import check_params

MACHINES = Registry(kind="machine")


class Machine:
    """Base of the pure decisions.

    A machine has no socket, thread or clock. It is fed messages together with
    the time and answers with outcomes, so a failure replays exactly from a
    trace of messages. Subclasses list their parameters in ``PARAMS``, store
    them in a keyword-only constructor, and build their state in ``_reset``.

    Notes
    -----
    Handlers are found by the message's class name in snake case:
    ``SetLive`` goes to ``on_set_live``.
    """

    __slots__ = ()
    PARAMS = {}

    def step(self, message, *, now):
        """Take one message.

        Parameters
        ----------
        message : object
            An instance of one of the machine's message classes.
        now : float
            Seconds on the caller's monotonic clock.

        Returns
        -------
        list
            Outcomes, in order.
        """
        handler = getattr(self, "on_" + _snake(type(message).__name__))
        return handler(message, now=now) or []

    def check(self):
        """Check the parameters.

        Raises
        ------
        ValueError
            If one is out of its bounds.
        """
        check_params(self, self.PARAMS)

    def get_params(self):
        """Return the parameters by name.

        Returns
        -------
        dict
        """
        return {name: getattr(self, name) for name in self.PARAMS}

    def dump(self, *, now):
        """Return the state as plain data that JSON can carry.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock; deadlines are shown relative to it.

        Returns
        -------
        dict
        """
        raise NotImplementedError


_SNAKE_BY_NAME = {}


def _snake(name):
    """Return a class name in snake case, remembered: it is on every step."""
    known = _SNAKE_BY_NAME.get(name)
    if known is None:
        parts = ["_" + char.lower() if char.isupper() else char for char in name]
        known = "".join(parts).lstrip("_")
        _SNAKE_BY_NAME[name] = known
    return known

"""Base class of the state machines that make the decisions, without any I/O."""

from hawthornspoke.base._registry import Registry
from hawthornspoke.base._validation import check_params

MACHINES = Registry(kind="machine")


class Machine:
    """Base class of pure state machines.

    A machine has no socket, thread or clock. It takes messages together with the
    time and returns outcomes: decisions, and actions for the caller to perform. So a
    failure can be replayed exactly from a trace of messages. Subclasses list their
    parameters in ``PARAMS``; their constructor takes them as keyword-only arguments,
    stores them and initialises the state.

    Notes
    -----
    The handler of a message is the method named ``on_`` and the message's class name
    in snake case: ``SetLive`` is handled by ``on_set_live``.
    """

    __slots__ = ()
    PARAMS = {}

    def step(self, message, *, now):
        """Process one message.

        Parameters
        ----------
        message : object
            An instance of one of the machine's message classes.
        now : float
            Seconds on the caller's monotonic clock, unless the machine states another.

        Returns
        -------
        list
            Outcomes in order.
        """
        handler = getattr(self, "on_" + _snake(type(message).__name__))
        return handler(message, now=now) or []

    def check(self):
        """Validate the parameters.

        Raises
        ------
        ValueError
            If a parameter is out of bounds.
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
        """Return the state as JSON-serializable data.

        Parameters
        ----------
        now : float
            Seconds on the clock of ``step``; deadlines are reported relative to it.

        Returns
        -------
        dict
        """
        raise NotImplementedError


_SNAKE_BY_NAME = {}


def _snake(name):
    """Return a class name in snake case; cached, since every step needs it."""
    known = _SNAKE_BY_NAME.get(name)
    if known is None:
        parts = ["_" + char.lower() if char.isupper() else char for char in name]
        known = "".join(parts).lstrip("_")
        _SNAKE_BY_NAME[name] = known
    return known

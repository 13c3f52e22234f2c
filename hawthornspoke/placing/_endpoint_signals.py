"""What the responses of one incarnation of an endpoint have said of it."""

from hawthornspoke.base import is_failure
from hawthornspoke.signals import SIGNALS, SignalChanged


class EndpointSignals:
    """Signals of one incarnation of an endpoint.

    Attributes
    ----------
    by_name : dict of str to Signal
    restrictions : tuple of Signal
        Those that may forbid requests, mostly none.
    """

    __slots__ = ("by_name", "restrictions")

    def __init__(self):
        self.by_name = {name: SIGNALS.get(name)() for name in SIGNALS.names()}
        self.restrictions = ()

    def observe(self, response, *, incarnation, now, rng):
        """Record what a response says of the endpoint.

        Parameters
        ----------
        response : SignalsObserved
        incarnation : Incarnation
            The endpoint's current one.
        now : float
        rng : random.Random

        Returns
        -------
        list of SignalChanged
        """
        changes = []
        for name, signal in self.by_name.items():
            value, before = response.value_by_signal.get(name), signal.value
            if is_failure(value):
                continue
            if value is None:
                is_changed = signal.observe_absence(response, now=now)
            else:
                is_changed = signal.observe(value, now=now, rng=rng)
            if is_changed:
                changes.append(
                    self.change(
                        name,
                        before=before,
                        endpoint_id=response.endpoint_id,
                        incarnation=incarnation,
                    )
                )
        self.restrictions = tuple(
            signal for signal in self.by_name.values() if signal.restricts(now)
        )
        return changes

    def change(self, name, *, before, endpoint_id, incarnation):
        """Return the message about a signal that has changed.

        Parameters
        ----------
        name : str
        before : object
            Its value before.
        endpoint_id : str
        incarnation : Incarnation

        Returns
        -------
        SignalChanged
        """
        return SignalChanged(
            endpoint_id=endpoint_id,
            signal=name,
            before=before,
            value=self.by_name[name].value,
            incarnation=incarnation,
        )

    def forbidding(self, now):
        """Return the name of a signal that forbids requests now, None if there is none.

        Parameters
        ----------
        now : float

        Returns
        -------
        str or None
        """
        for name, signal in self.by_name.items():
            if not signal.allows_request(now):
                return name
        return None

    def next_request_at(self, now):
        """Return the earliest time at which all restrictions allow a request.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return max(signal.next_request_at(now) for signal in self.restrictions)

    def dump(self, *, now):
        """Return the signals as plain data."""
        return {name: signal.dump(now=now) for name, signal in self.by_name.items()}

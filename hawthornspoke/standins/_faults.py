"""Faults that tests inject over HTTP."""

import threading

from hawthornspoke.web import json_response

FAULTS_PATH = "/_faults"


class Faults:
    """Fault settings of one simulated system, by name.

    Parameters
    ----------
    defaults : dict of str to object
        All supported faults with the values that disable them.

    Notes
    -----
    ``POST /_faults`` with a JSON object sets the named faults.
    """

    __slots__ = ("defaults", "_by_name", "_lock")

    def __init__(self, *, defaults):
        self.defaults = dict(defaults)
        self._by_name = dict(defaults)
        self._lock = threading.Lock()

    def __getitem__(self, name):
        return self._by_name[name]

    def set(self, changes):
        """Set the named faults.

        Parameters
        ----------
        changes : dict of str to object

        Raises
        ------
        KeyError
            For an unsupported fault, since a test with a misspelled fault name
            would pass without injecting anything.
        """
        for name in changes:
            if name not in self.defaults:
                raise KeyError(name)
        with self._lock:
            self._by_name.update(changes)

    def consume(self, name):
        """Use up one occurrence of a fault that applies a limited number of times.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
            Whether the fault applies now, as its counter was above zero.
        """
        with self._lock:
            remaining = self._by_name[name]
            if not remaining:
                return False
            self._by_name[name] = remaining - 1
            return True

    def handle(self, request):
        """Handle ``POST /_faults``."""
        self.set(request.json() or {})
        return json_response(self._by_name)

"""Faults that a test switches on over HTTP."""

import threading

from hawthornspoke.web import json_response

FAULTS_PATH = "/_faults"


class Faults:
    """Named fault settings of one stand-in.

    Parameters
    ----------
    defaults : dict of str to object
        Every fault the stand-in knows, switched off.

    Notes
    -----
    ``POST /_faults`` with a JSON object sets some of them.
    """

    __slots__ = ("defaults", "_by_name", "_lock")

    def __init__(self, *, defaults):
        self.defaults = dict(defaults)
        self._by_name = dict(defaults)
        self._lock = threading.Lock()

    def __getitem__(self, name):
        return self._by_name[name]

    def set(self, changes):
        """Set some faults.

        Parameters
        ----------
        changes : dict of str to object

        Raises
        ------
        KeyError
            For a fault that the stand-in does not know: a test that misspells
            one would prove nothing.
        """
        for name in changes:
            if name not in self.defaults:
                raise KeyError(name)
        with self._lock:
            self._by_name.update(changes)

    def take(self, name):
        """Use up one of a counted fault.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
            Whether there was one left.
        """
        with self._lock:
            left = self._by_name[name]
            if not left:
                return False
            self._by_name[name] = left - 1
            return True

    def handle(self, request):
        """Answer ``POST /_faults``."""
        self.set(request.json() or {})
        return json_response(self._by_name)

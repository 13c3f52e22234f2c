"""Names for the ends of an engine, so that all requests it ran tell the same one."""

import threading

from hawthornspoke.base import monotonic

#: Seconds within which broken answers are of one end: an engine takes longer to start.
SAME_END = 0.5


class EngineEnds:
    """Counts the ends of an engine's process.

    Parameters
    ----------
    name : str
        Of this agent's process, another one after each start.
    """

    __slots__ = ("_name", "_number", "_noted_at", "_lock")

    def __init__(self, *, name):
        self._name = name
        self._number = 0
        self._noted_at = float("-inf")
        self._lock = threading.Lock()

    def note(self):
        """Take that a request was broken off by an engine that has ended.

        Returns
        -------
        str
            A name of that end.
        """
        with self._lock:
            now = monotonic()
            if now >= self._noted_at + SAME_END:
                self._number += 1
            self._noted_at = now
            return f"{self._name}#{self._number}"

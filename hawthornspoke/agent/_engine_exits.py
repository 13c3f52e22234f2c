"""Identifiers of engine exits; all requests that an exit interrupted get the same."""

import threading

from hawthornspoke.base import monotonic

#: Seconds within which interrupted responses are attributed to the same exit. An
#: engine takes longer than this to start again, so these can't be two exits.
SAME_EXIT_SECONDS = 0.5


class EngineExits:
    """Counts the exits of an engine process.

    Parameters
    ----------
    name : str
        Prefix of the identifiers, unique to each start of the agent process.
    """

    __slots__ = ("_name", "_exit_count", "_last_exit_at", "_lock")

    def __init__(self, *, name):
        self._name = name
        self._exit_count = 0
        self._last_exit_at = float("-inf")
        self._lock = threading.Lock()

    def record(self):
        """Record that a request was interrupted by the exit of the engine.

        Returns
        -------
        str
            Identifier of that exit.
        """
        with self._lock:
            now = monotonic()
            if now >= self._last_exit_at + SAME_EXIT_SECONDS:
                self._exit_count += 1
            self._last_exit_at = now
            return f"{self._name}#{self._exit_count}"

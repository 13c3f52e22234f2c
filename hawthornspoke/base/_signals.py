"""Waiting for the signals that ask a process to stop."""

import signal
import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAX_READ_BYTES = 4096


class StopSignals:
    """Lets the main thread wait for SIGTERM or SIGINT.

    Notes
    -----
    The kernel may deliver a signal to any thread of the process. Python runs handlers
    on the main thread only, and does not wake it if it waits for a lock: an event that
    a handler sets would be seen only after some other signal. The interpreter
    therefore writes the number of each signal to a socket, on the thread that received
    it, and the main thread waits for the socket.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self):
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)

    def install(self):
        """Receive the signals from now on. Must be called on the main thread."""
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            # Without a handler the default action would end the process at once.
            signal.signal(number, _ignore)

    def wait(self):
        """Return once one of the signals has arrived since :meth:`install`.

        Further ones have no effect. Handlers of other signals run meanwhile.
        """
        try:
            while not _has_stop_signal(self._reader.recv(MAX_READ_BYTES)):
                pass
        finally:
            # The interpreter must not write to a descriptor that may be used again.
            signal.set_wakeup_fd(-1)
            self._reader.close()
            self._writer.close()


def _has_stop_signal(numbers):
    return any(number in STOP_SIGNALS for number in numbers)


def _ignore(number, frame):
    """Handle a signal without an effect: its number arrives through the socket."""

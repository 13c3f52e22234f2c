"""Client through which request threads call the control actor."""

import pykka

from hawthornspoke.base import Failure
from hawthornspoke.node import Call

CONTROL_OVERLOADED = Failure(code="overloaded")

#: Timeout in seconds of a call to the control actor. Calls take well under a
#: millisecond, so a timeout means that this host is overloaded.
ASK_TIMEOUT = 2.0


class ControlClient:
    """Typed calls to the control actor of an entry host.

    Parameters
    ----------
    actor : pykka.ActorRef
    """

    __slots__ = ("actor",)

    def __init__(self, *, actor):
        self.actor = actor

    def admit(self, **arguments):
        """See :meth:`EntryControl.admit`."""
        return self._ask("admit", arguments)

    def choose(self, **arguments):
        """See :meth:`EntryControl.choose`."""
        return self._ask("choose", arguments)

    def recheck(self, **arguments):
        """See :meth:`EntryControl.recheck`."""
        return self._ask("recheck", arguments)

    def ask_retry(self, **arguments):
        """See :meth:`EntryControl.ask_retry`."""
        return self._ask("ask_retry", arguments)

    def is_ready(self):
        """See :meth:`EntryControl.is_ready`."""
        return self._ask("is_ready", {}) is True

    def revision_seen(self):
        """Return the highest configuration revision that this host knows of."""
        answer = self._ask("revision_seen", {})
        return answer if isinstance(answer, int) else 0

    def document_bytes(self, digest):
        """Return the packed configuration in force if it has this digest, else None."""
        answer = self._ask("document_bytes", {"digest": digest})
        return answer if isinstance(answer, bytes) else None

    def attempt_ended(self, **arguments):
        """See :meth:`EntryControl.attempt_ended`."""
        self._tell("attempt_ended", arguments)

    def endpoint_refused(self, **arguments):
        """See :meth:`EntryControl.endpoint_refused`."""
        self._tell("endpoint_refused", arguments)

    def hear_revision(self, revision):
        """Report the configuration revision that a message of another node carried."""
        if revision:
            self._tell("hear_revision", {"revision": revision})

    def _ask(self, method, arguments):
        call = Call(method=method, arguments=arguments)
        try:
            return self.actor.ask(call, timeout=ASK_TIMEOUT)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            return CONTROL_OVERLOADED.with_reason(repr(error), retry_after=1.0)

    def _tell(self, method, arguments):
        if self.actor.is_alive():
            self.actor.tell(Call(method=method, arguments=arguments))

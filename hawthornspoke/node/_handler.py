"""Thrift handler methods common to entry hosts and agents."""

import json

from hawthornspoke.node._messages import Call, DrainRequested, DumpRequested
from hawthornspoke.protocol import PROTOCOL_VERSION, Document, DrainReply

ACTOR_TIMEOUT = 5.0


class NodeHandler:
    """Handles the calls document, status, dump and drain.

    Parameters
    ----------
    actor : pykka.ActorRef
        The node's control actor.
    """

    __slots__ = ("actor",)

    def __init__(self, *, actor):
        self.actor = actor

    def document(self, digest):
        """Return the configuration in force, or no data if its digest differs."""
        data = self.ask("document_bytes", digest=digest)
        revision = self.ask("revision_seen")
        return Document(
            version=PROTOCOL_VERSION, revision=revision, digest=digest, data=data
        )

    def status(self):
        """Return the status of this node for operators."""
        return self.ask("status")

    def dump(self):
        """Return the state as JSON."""
        state = self.actor.ask(DumpRequested(), timeout=ACTOR_TIMEOUT)
        return json.dumps(state, indent=2, sort_keys=True)

    def drain(self, reason):
        """Reject new work from now on."""
        self.actor.tell(DrainRequested(reason=reason))
        return DrainReply(version=PROTOCOL_VERSION, running=self.running())

    def running(self):
        """Return the number of requests in progress."""
        raise NotImplementedError

    def ask(self, method, **arguments):
        """Call a method of the control actor and return its result."""
        call = Call(method=method, arguments=arguments)
        return self.actor.ask(call, timeout=ACTOR_TIMEOUT)

    def tell(self, method, **arguments):
        """Call a method of the control actor without waiting for its result."""
        self.actor.tell(Call(method=method, arguments=arguments))

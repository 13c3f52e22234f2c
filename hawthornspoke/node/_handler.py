"""The part of the Thrift service that entry and agent have in common."""

import json

from hawthornspoke.node._messages import Call, DrainOrdered, DumpAsked
from hawthornspoke.protocol import PROTOCOL_VERSION, Document, DrainReply

ASK_SECONDS = 5.0


class NodeHandler:
    """Answers documents, status, dump and drain of a node.

    Parameters
    ----------
    actor : pykka.ActorRef
        The node's control actor.
    """

    __slots__ = ("actor",)

    def __init__(self, *, actor):
        self.actor = actor

    def document(self, digest):
        """Return the document in force, if it is the one asked for."""
        data = self.ask("document_bytes", digest=digest)
        revision = self.ask("revision_seen")
        return Document(
            version=PROTOCOL_VERSION, revision=revision, digest=digest, data=data
        )

    def status(self):
        """Return what an operator is told of this node."""
        return self.ask("status")

    def dump(self):
        """Return the whole state as JSON."""
        state = self.actor.ask(DumpAsked(), timeout=ASK_SECONDS)
        return json.dumps(state, indent=2, sort_keys=True)

    def drain(self, reason):
        """Take no new work from now on."""
        self.actor.tell(DrainOrdered(reason=reason))
        return DrainReply(version=PROTOCOL_VERSION, running=self.running())

    def running(self):
        """Return how many requests are in progress here."""
        raise NotImplementedError

    def ask(self, method, **arguments):
        """Call a method of the control actor and wait for its answer."""
        call = Call(method=method, arguments=arguments)
        return self.actor.ask(call, timeout=ASK_SECONDS)

    def tell(self, method, **arguments):
        """Call a method of the control actor without waiting."""
        self.actor.tell(Call(method=method, arguments=arguments))

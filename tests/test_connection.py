"""Connections between processes: what a failed call leaves behind."""

import random
import threading
import time

from hawthornspoke.base import monotonic
from hawthornspoke.protocol import (
    NOT_SENT,
    REPLY_LOST,
    TOO_LATE,
    Connection,
    Document,
    RpcServer,
)

ADDRESS = "127.0.0.1"


class SlowHandler:
    """Answers documents after the seconds that their name says."""

    def document(self, digest):
        time.sleep(float(digest))
        return Document(digest=digest)


def open_server():
    port = random.randrange(30000, 32000)
    server = RpcServer(address=ADDRESS, port=port, handler=SlowHandler())
    server.open()
    return server, port


def test_late_reply_never_answers_the_next_call():
    """Symptom: a caller gets the answer to an earlier call.

    Events: a call runs out of time; its reply arrives while the next one waits on
    the same connection.
    Cause: keeping a connection with an unread reply.
    """
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    first = connection.call("document", "0.3", deadline=monotonic() + 0.1)
    second = connection.call("document", "0.4", deadline=monotonic() + 2)
    server.close()
    assert first == REPLY_LOST
    assert second.digest == "0.4"


def test_a_call_after_its_deadline_is_not_sent():
    """Symptom: a paused process acts for a caller who was told otherwise."""
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    assert connection.call("document", "0", deadline=monotonic() - 1) == TOO_LATE
    server.close()


def test_refused_connection_is_proof_and_a_cut_one_is_not():
    """Symptom: "not run" is said of a call that a killed process had begun."""
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    threading.Timer(0.2, server.close).start()
    cut = connection.call("document", "1", deadline=monotonic() + 3)
    refused = connection.call("document", "0", deadline=monotonic() + 1)
    assert cut == REPLY_LOST
    assert refused == NOT_SENT

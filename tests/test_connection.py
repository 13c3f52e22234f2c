"""State of RPC connections after failed calls."""

import threading
import time

from hawthornspoke.base import monotonic
from hawthornspoke.base.tests.addresses import random_port
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
    """Delays each reply by the number of seconds given as the digest."""

    def document(self, digest):
        time.sleep(float(digest))
        return Document(digest=digest)


def open_server():
    port = random_port(30000, 32000)
    server = RpcServer(address=ADDRESS, port=port, handler=SlowHandler())
    server.open()
    return server, port


def test_late_reply_never_answers_the_next_call():
    """Guards against a reply that is matched to the wrong call.

    If a connection is reused after a call has timed out, the late reply to that call
    arrives while the next call waits on the same connection.
    """
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    first = connection.call("document", "0.3", deadline=monotonic() + 0.1)
    second = connection.call("document", "0.4", deadline=monotonic() + 2)
    server.close()
    assert first == REPLY_LOST
    assert second.digest == "0.4"


def test_a_call_after_its_deadline_is_not_sent():
    """Guards against a resumed process sending a call already reported as failed."""
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    assert connection.call("document", "0", deadline=monotonic() - 1) == TOO_LATE
    server.close()


def test_only_a_refused_connection_proves_that_a_call_was_not_sent():
    """Guards against reporting "not run" for a call that a killed process had begun."""
    server, port = open_server()
    connection = Connection(address=ADDRESS, port=port)
    threading.Timer(0.2, server.close).start()
    broken = connection.call("document", "1", deadline=monotonic() + 3)
    refused = connection.call("document", "0", deadline=monotonic() + 1)
    assert broken == REPLY_LOST
    assert refused == NOT_SENT

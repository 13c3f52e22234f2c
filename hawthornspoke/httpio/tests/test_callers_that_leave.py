"""A caller that leaves while its answer waits to be read."""

import asyncio
import contextlib
import socket

from hawthornspoke.httpio import HttpServer

PART = b"e" * 65536


async def serve(left):
    """Start a server whose answers never end; note when a task is cancelled."""

    async def handle(request, reply):
        reply.start(200)
        try:
            while True:
                await reply.write(PART)
        finally:
            left.set()

    server = HttpServer(
        host="127.0.0.1", port=0, handler=handle, on_broken=lambda error: None
    )
    await server.start()
    return server


def test_caller_that_closes_before_it_has_read_what_was_sent():
    """Engines worked on for callers that had left.

    Symptom: a stream goes on at its engine more than half a second after its caller's
    close has reached the entry host.
    Events: the caller's link is full, so that its answer fills the kernel's buffer and
    then the server's own; the caller closes; the reset by which its host answers what
    still comes is behind the same full link, and only the end of the bytes is there.
    Cause: the loop closes a transport with bytes to send only when they are sent, so
    the request's task is not cancelled while nobody takes them.
    """

    async def scenario():
        left = asyncio.Event()
        server = await serve(left)
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", server.bound_port))
        await loop.sock_sendall(caller, b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.3)
        # Only the end of the caller's bytes arrives, and no reset, as on such a link.
        caller.shutdown(socket.SHUT_WR)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(left.wait(), 0.5)
        caller.close()
        was_told = left.is_set()
        server.close()
        await asyncio.sleep(0.05)
        assert was_told

    asyncio.run(scenario())

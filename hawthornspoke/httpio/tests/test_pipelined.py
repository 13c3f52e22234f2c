"""Requests that a caller sends without waiting for the answer before."""

import asyncio
import time

from hawthornspoke.httpio import HttpServer


def message(target, *, method="GET"):
    """Return a request without a body."""
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


class Caller:
    """A server that notes its requests, and a connection to it."""

    async def __aenter__(self):
        self.requests = []
        self.wait = 0.01
        self.server = HttpServer(
            host="127.0.0.1", port=0, handler=self._handle, on_broken=print
        )
        await self.server.start()
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.bound_port
        )
        return self

    async def __aexit__(self, *exc):
        self.writer.close()
        self.server.close()

    async def _handle(self, request, reply):
        self.requests.append(request)
        await asyncio.sleep(self.wait)
        reply.send(200, [("Target", request.target)])

    async def read(self, seconds=0.5):
        """Return all that is answered until the connection ends, or for a while."""
        raw = b""
        try:
            async with asyncio.timeout(seconds):
                while part := await self.reader.read(4096):
                    raw += part
        except TimeoutError:
            pass
        return raw

    def targets(self):
        """Return what was handled."""
        return [(item.method, item.target) for item in self.requests]


def test_two_requests_in_one_segment():
    """Symptom: a caller read the answer to its second request as that to its first.

    Events: both requests come in one segment. Cause: the parser went on to the second
    message before the task of the first had begun, so the first was lost.
    """

    async def scenario():
        async with Caller() as caller:
            caller.writer.write(message("/a", method="POST") + message("/b"))
            raw = await caller.read()
            assert caller.targets() == [("POST", "/a")]
            assert raw.count(b"HTTP/1.1 200") == 1
            assert b"Target: /a\r\n" in raw
            # The rest is neither run nor answered, and the caller can see that.
            assert b"Connection: close\r\n" in raw
            assert caller.reader.at_eof()

    asyncio.run(scenario())


def test_body_of_the_first_is_not_that_of_the_second():
    async def scenario():
        async with Caller() as caller:
            first = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
            second = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nyou"
            caller.writer.write(first + second)
            await caller.read()
            assert [(item.target, item.body) for item in caller.requests] == [
                ("/a", b"hi")
            ]

    asyncio.run(scenario())


def test_request_that_waits_behind_another_has_come_when_its_bytes_came():
    """Symptom: a request was sent on after its caller's deadline.

    Events: a second request comes while the first is answered, which takes 0.3 s.
    Cause: its time began when it was looked at.
    """

    async def scenario():
        async with Caller() as caller:
            caller.wait = 0.3
            caller.writer.write(message("/a"))
            await asyncio.sleep(0.05)
            sent_at = time.monotonic()
            caller.writer.write(message("/b"))
            raw = await caller.read(1.5)
            assert caller.targets() == [("GET", "/a"), ("GET", "/b")]
            assert b"Target: /b\r\n" in raw
            second = caller.requests[1]
            assert second.arrived_at < sent_at + 0.15
            assert second.contact_arrived_at > 0

    asyncio.run(scenario())


def test_requests_one_after_the_other_share_a_connection():
    async def scenario():
        async with Caller() as caller:
            for target in ("/a", "/b"):
                caller.writer.write(message(target))
                await asyncio.sleep(0.1)
            raw = await caller.read()
            assert raw.count(b"HTTP/1.1 200") == 2
            assert b"Connection: close" not in raw

    asyncio.run(scenario())

"""Stand-in for a plain runner.

Usage: server.py IP PORT ID

It runs each request that is meant for it, seals its answer, and lists what it ran as
JSON at ``GET /_runs``.
"""

import asyncio
import sys
import time

from names import N
from web import encode_json, encode_response, serve

WORK_S = 0.02


class Server:
    """Runs requests and remembers them."""

    def __init__(self, instance):
        self.instance = instance
        self.runs = []

    async def handle(self, request, writer):
        if request.path == "/_runs":
            writer.write(encode_json(self.runs))
            return
        if request.path == "/healthz":
            writer.write(encode_response(200, [(N.instance, self.instance)]))
            return
        attempt = request.get("attempt-id")
        if request.get("expect-instance", self.instance) != self.instance:
            fields = [(N.attempt, attempt), (N.not_run, "1")]
            writer.write(encode_response(421, fields))
            return
        self.runs.append(
            {
                "at": time.time(),
                "attempt": attempt,
                "method": request.method,
                "path": request.path,
                "tenant": request.get("tenant", None),
                "key": request.get("x-api-key", None),
            }
        )
        await asyncio.sleep(WORK_S)
        fields = [
            (N.attempt, attempt),
            (N.seal, f"seal-of-{attempt}"),
            (N.load, "1,0,6"),
        ]
        writer.write(encode_response(200, fields, f"ran {attempt}".encode()))


async def main(ip, port, instance):
    server = await serve(ip, int(port), Server(instance).handle)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

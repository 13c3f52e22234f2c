"""A link to a runner that can be cut: bytes wait in both directions until it heals.

Usage: proxy.py IP PORT TARGET_IP TARGET_PORT

SIGUSR1 cuts the link and SIGUSR2 heals it. The end of a connection waits as bytes do,
as the sender's host repeats it until it arrives; a reset is passed on as a reset.
"""

import asyncio
import signal
import sys


class Link:
    """Connections to one runner."""

    def __init__(self, ip, port):
        self.target = (ip, port)
        self.healed = asyncio.Event()
        self.healed.set()

    async def accept(self, reader, writer):
        await self.healed.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, target_writer), self._pump(target_reader, writer)
        )

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.healed.wait()
                writer.write(data)
                await writer.drain()
            await self.healed.wait()
            writer.close()
        except OSError:
            await self.healed.wait()
            writer.transport.abort()


async def main(ip, port, target_ip, target_port):
    link = Link(target_ip, int(target_port))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, link.healed.clear)
    loop.add_signal_handler(signal.SIGUSR2, link.healed.set)
    server = await asyncio.start_server(link.accept, ip, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

"""Stand-in for the origin of weights.

Usage: origin.py IP PORT
"""

import asyncio
import sys

from names import N
from web import encode_json, encode_response, serve
from weights import BLOCK_BYTES, BLOCKS, LAYERS, MODEL, digest, piece


async def handle(request, writer):
    version = int(request.query.get("version", 1))
    if request.path == f"/v1/manifest/{MODEL}":
        tree = {
            "modelId": MODEL,
            "version": version,
            "blockBytes": BLOCK_BYTES,
            "layers": LAYERS,
            "hashes": [digest(version, index) for index in range(BLOCKS)],
        }
        writer.write(encode_json(tree))
    elif request.path == f"/v1/piece/{MODEL}":
        data = piece(version, int(request.query[N.piece]))
        writer.write(encode_response(200, body=data))
    else:
        writer.write(encode_response(404))


async def main(ip, port):
    server = await serve(ip, int(port), handle)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))

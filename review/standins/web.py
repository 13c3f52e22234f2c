"""A small HTTP/1.1 server for stand-ins, with asyncio streams only."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit


class Request:
    """One request, read whole."""

    def __init__(self, *, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_request(reader):
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Request(method=method, target=target, fields=fields, body=body)


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def encode_response(status, fields=(), body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(tree, status=200):
    """Return a response with a JSON body."""
    fields = [("Content-Type", "application/json")]
    return encode_response(status, fields, json.dumps(tree).encode())


async def serve(ip, port, handler):
    """Serve requests: ``await handler(request, writer)`` writes each response."""

    async def on_connection(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await handler(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port)

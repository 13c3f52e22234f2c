"""Clients with persistent connections that verify their responses."""

import asyncio
import contextlib
import itertools
import random

from hawthornspoke.base import monotonic
from tests.soak.programs import FRONT_PORT
from tests.soak.simulation import expected_events, expected_response

PREFIXES = ("/once/", "/again/", "/stream/")

#: What a violation says of a response that lacks its end and looks whole.
CUT_BUT_WHOLE = "half a response as a whole one"

#: A key that no configuration ever holds.
UNKNOWN_KEY = "never-held"

#: Fraction of requests with a key that is not valid.
INVALID_KEY_SHARE = 0.1

#: Seconds until the deadline that clients send, and until they leave; both are longer
#: than the time limit of every route.
DEADLINE_SECONDS = 7.0
RESPONSE_TIMEOUT_SECONDS = 8.0

#: Number of answer tokens of a request.
ANSWER_TOKENS = 12


def prompt_line(part_ids):
    """Return the header line that names the parts of a prompt."""
    return "Prompt-Prefix: " + ",".join(f"{part_id}:30" for part_id in part_ids)


async def send_unchecked(entry, lines, *, timeout):
    """Send a request on a connection of its own, and read whatever comes.

    Parameters
    ----------
    entry : Program
    lines : iterable of str
        Of its head.
    timeout : float
        Seconds after which the client leaves.
    """
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(entry.ip, FRONT_PORT)
            try:
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                while await reader.read(65536):
                    pass
            finally:
                writer.transport.abort()


class Record:
    """One request and its outcome as seen by the client.

    Attributes
    ----------
    status : int or None
        None if no complete response was received.
    has_head : bool
        Whether the head of a response was received.
    was_closed : bool
        Whether the connection was closed before the end of the response.
    resent : int
        How often the client sent it again by itself, under the same id.
    answer_tokens : int
    deadline : float
        Until when the client waits; later if it sent the request again.
    """

    __slots__ = (
        "id",
        "prefix",
        "key",
        "sent_at",
        "ended_at",
        "status",
        "has_head",
        "was_closed",
        "resent",
        "answer_tokens",
        "deadline",
        "entry",
    )

    def __init__(self, *, request_id, prefix, key, sent_at, entry, answer_tokens):
        self.id, self.prefix, self.key = request_id, prefix, key
        self.sent_at, self.entry = sent_at, entry
        self.answer_tokens = answer_tokens
        self.deadline = sent_at + DEADLINE_SECONDS
        self.ended_at = self.status = None
        self.has_head = self.was_closed = False
        self.resent = 0

    @property
    def seconds(self):
        """Seconds from sending the request to its end."""
        return self.ended_at - self.sent_at


class VerifyingClients:
    """Concurrent clients of the entry hosts.

    Parameters
    ----------
    entries : list of Program
    keys : set of str
        API keys in use; shared with the soak test, which adds and revokes keys.
    revoked : collection of str
        Revoked API keys, shared likewise.
    seed : int
    resends : bool, default=False
        Whether a request that may be repeated is sent again, under the same id, if its
        connection is closed without a response, as client libraries do.
    prefixes : sequence of str, default=PREFIXES
        Of the routes that are used equally often.
    prompt_parts : callable or None, default=None
        Returns the ids of the parts of a prompt, by the number of its request.
    answer_tokens : callable or None, default=None
        Returns the number of answer tokens of a request, given its id.
    """

    def __init__(
        self,
        *,
        entries,
        keys,
        revoked,
        seed,
        resends=False,
        prefixes=PREFIXES,
        prompt_parts=None,
        answer_tokens=None,
    ):
        self.prompt_parts = prompt_parts
        self.answer_tokens = answer_tokens
        self.entries, self.keys, self.revoked = entries, keys, revoked
        self.random = random.Random(seed)
        self.resends = resends
        self.prefixes = prefixes
        self.records = []
        self.violations = []
        self._numbers = itertools.count()

    async def run(self, count):
        """Send requests from ``count`` clients until cancelled."""
        await asyncio.gather(*(self._run_client() for _ in range(count)))

    async def _run_client(self):
        while True:
            entry = self.random.choice(self.entries)
            try:
                reader, writer = await asyncio.open_connection(entry.ip, FRONT_PORT)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._send_request(entry, reader, writer):
                    await asyncio.sleep(self.random.expovariate(8.0))
            finally:
                writer.transport.abort()

    def _choose_key(self):
        if not self.keys or self.random.random() < INVALID_KEY_SHARE:
            return self.random.choice([UNKNOWN_KEY, *sorted(self.revoked)])
        return self.random.choice(sorted(self.keys))

    async def _send_request(self, entry, reader, writer):
        """Send a new request; return whether the connection can be reused."""
        record = self._make_record(
            entry, prefix=self.random.choice(self.prefixes), key=self._choose_key()
        )
        is_reusable = await self._exchange(record, reader, writer)
        if self.resends and record.was_closed and not record.has_head:
            await self._resend(record)
        return is_reusable

    def _make_record(self, entry, *, prefix, key):
        request_id = f"q{next(self._numbers)}"
        tokens = ANSWER_TOKENS
        if self.answer_tokens is not None:
            tokens = self.answer_tokens(request_id)
        record = Record(
            request_id=request_id,
            prefix=prefix,
            key=key,
            sent_at=asyncio.get_running_loop().time(),
            entry=entry,
            answer_tokens=tokens,
        )
        self.records.append(record)
        return record

    async def _resend(self, record):
        """Send a request again on a new connection, if it may be repeated."""
        if record.prefix == "/once/":
            return
        entry = self.random.choice(self.entries)
        try:
            reader, writer = await asyncio.open_connection(entry.ip, FRONT_PORT)
        except OSError:
            return
        record.entry, record.was_closed = entry, False
        record.resent += 1
        try:
            await self._exchange(record, reader, writer)
        finally:
            writer.transport.abort()

    async def send_once(self, entry, prefix, reader, writer):
        """Send one request with a valid key; return its Record."""
        record = self._make_record(entry, prefix=prefix, key=min(self.keys))
        await self._exchange(record, reader, writer)
        return record

    async def _exchange(self, record, reader, writer):
        """Send a request; return whether the connection can be reused."""
        loop = asyncio.get_running_loop()
        record.deadline = loop.time() + DEADLINE_SECONDS
        lines = [
            f"POST {record.prefix}x HTTP/1.1",
            "Host: svc.example",
            f"Attempt-Id: {record.id}",
            f"Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}",
            f"X-Api-Key: {record.key}",
            f"Token-Count: 100,{record.answer_tokens}",
            "Content-Length: 0",
        ]
        if self.prompt_parts is not None:
            number = int(record.id.removeprefix("q"))
            lines.append(prompt_line(self.prompt_parts(number)))
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return await self._read_response(record, reader)
        except TimeoutError:
            return False
        except (OSError, asyncio.IncompleteReadError):
            record.was_closed = True
            return False
        finally:
            record.ended_at = loop.time()

    async def _read_response(self, record, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        record.has_head = True
        status = int(head.split(" ")[1])
        if status == 200 and "response-seal: s" not in head.lower():
            self.violations.append(f"{record.id}: successful response without a seal")
        body = bytearray()
        try:
            await self._read_body(head, reader, body)
        finally:
            # The part of a response that breaks off has to be right as well.
            if status == 200:
                self._check_body(record, bytes(body), is_whole=False)
        record.status = status
        if status == 200:
            self._check_body(record, bytes(body), is_whole=True)
        return "connection: close" not in head.lower()

    async def _read_body(self, head, reader, body):
        if "chunked" not in head.lower():
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            body += await reader.readexactly(length)
            return
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)

    def _check_body(self, record, body, *, is_whole):
        expected_body = expected_response(record.id)
        if record.prefix == "/stream/":
            texts = expected_events(record.id)
            events = [f"id: {n}\ndata: {t}\n\n" for n, t in enumerate(texts, 1)]
            expected_body = "".join(events).encode()
        if expected_body[: len(body)] == body:
            if is_whole and body != expected_body:
                self.violations.append(
                    f"{record.id}: {CUT_BUT_WHOLE}: {len(body)} of "
                    f"{len(expected_body)} bytes, ended at {monotonic():.3f}"
                )
        else:
            self.violations.append(
                f"{record.id}: unexpected response body: {body[:80]!r}"
            )

"""Digests of a version's pieces: read from the origin once for each region."""

import asyncio
import contextlib
import re

from hawthornspoke.base import Failure, is_failure, rendezvous_order
from hawthornspoke.protocol import Frame, Manifest, ManifestAsk
from hawthornspoke.spread._ports import ORIGIN_FAILED
from hawthornspoke.spread._stock import weights_name

#: Hosts of the own region that read the list from the origin; the others ask both at
#: once.
READERS = 2

#: Seconds for which a question waits there, answered as soon as the list has come, and
#: until it is given up: a host that stands still is not waited for.
HOLD_TIME = 0.5
ASK_TIMEOUT = 0.7

#: Questions in a row that were answered in vain after which a host reads the origin
#: itself: both readers live, but may be cut off from it.
VAIN_QUESTIONS = 8

#: Lists that are kept; older versions are of no use to anybody.
KEPT = 4

DIGEST = re.compile(r"[0-9a-f]{64}")

NOT_KNOWN = Failure(code="digests_not_known")
UNANSWERED = Failure(code="digests_unanswered")


class Manifests:
    """Gets the list of digests of a version and passes it on.

    The origin serves few connections at once. With 53 agents that each asked it,
    it reset those over 48, some agents had no list for 15 s, and the lists took as
    much of its link as a seventh of the pieces. One host of each region reads the
    list, the others ask that host.

    Parameters
    ----------
    origin : object
        ``await manifest(address, model, version)``.
    exchange : Exchange
        Knows the peers and the links to them.
    log : EventLog
    """

    __slots__ = (
        "_origin",
        "_exchange",
        "_log",
        "_digests_by_name",
        "_distrusted",
        "_vain_by_name",
        "_came",
    )

    def __init__(self, *, origin, exchange, log):
        self._origin = origin
        self._exchange = exchange
        self._log = log
        self._digests_by_name = {}
        self._distrusted = set()
        self._vain_by_name = {}
        self._came = asyncio.Event()

    async def get(self, model, version):
        """Return the digests of a version.

        Parameters
        ----------
        model : str
        version : int

        Returns
        -------
        tuple of str or Failure
        """
        name = weights_name(model, version)
        digests = NOT_KNOWN
        before = self._readers_before(name)
        # A list that proved wrong came to the neighbours from the same source.
        if name not in self._distrusted:
            digests = await self._ask_all(name, before)
        if is_failure(digests) and self._may_read(name, before, digests):
            digests = await self._read_origin(model, version)
        if is_failure(digests):
            return digests
        if not all(DIGEST.fullmatch(digest) for digest in digests):
            return ORIGIN_FAILED.because("what should be digests are none")
        self._digests_by_name[name] = digests
        self._vain_by_name.pop(name, None)
        self._came.set()
        self._came = asyncio.Event()
        for old in list(self._digests_by_name)[:-KEPT]:
            del self._digests_by_name[old]
        return digests

    def distrust(self, name):
        """Forget a list that pieces don't match."""
        self._digests_by_name.pop(name, None)
        self._distrusted.add(name)

    def answer(self, link, frame):
        """Answer a host that asks."""
        self._exchange.spawn(self._answer(link, frame))

    async def _answer(self, link, frame):
        name = frame.manifest_ask.weights
        deadline = asyncio.get_running_loop().time() + HOLD_TIME
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while name not in self._digests_by_name:
                    await self._came.wait()
        digests = self._digests_by_name.get(name)
        if digests is not None:
            digests = [bytes.fromhex(digest) for digest in digests]
        link.send(Frame(call=-frame.call, manifest=Manifest(digests=digests)))

    def _readers_before(self, name):
        """Return the hosts that read a list before this one does."""
        nodes = self._exchange.region_nodes()
        readers = rendezvous_order(key=name, nodes=nodes)[:READERS]
        if self._exchange.node in readers:
            return readers[: readers.index(self._exchange.node)]
        return readers

    def _may_read(self, name, before, failure):
        """Tell whether this host reads the origin, having no list of others."""
        if len(before) < READERS or name in self._distrusted:
            return True
        if failure == UNANSWERED:
            return True
        vain = self._vain_by_name.get(name, 0) + 1
        self._vain_by_name[name] = vain % VAIN_QUESTIONS
        return vain >= VAIN_QUESTIONS

    async def _ask_all(self, name, nodes):
        """Ask some hosts at once and return the first list, or a Failure."""
        failure = UNANSWERED
        asked = [asyncio.ensure_future(self._ask(name, node)) for node in nodes]
        try:
            for answered in asyncio.as_completed(asked):
                digests = await answered
                if not is_failure(digests):
                    return digests
                if digests != UNANSWERED:
                    failure = digests
        finally:
            for question in asked:
                question.cancel()
        return failure

    async def _ask(self, name, node):
        frame = Frame(manifest_ask=ManifestAsk(weights=name))
        answer = await self._exchange.ask(node, frame, timeout=ASK_TIMEOUT)
        if is_failure(answer) or answer.manifest is None:
            return UNANSWERED
        if not answer.manifest.digests:
            return NOT_KNOWN
        return tuple(digest.hex() for digest in answer.manifest.digests)

    async def _read_origin(self, model, version):
        address = self._exchange.origin_address
        if address is None:
            return NOT_KNOWN.because("no origin is known")
        self._log.decision("manifest", version=version, origin=address)
        return await self._origin.manifest(address, model, version)

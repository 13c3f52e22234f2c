"""Digests of a version's pieces: read from the origin once for each region."""

import asyncio
import re

from hawthornspoke.base import Failure, is_failure, rendezvous_order
from hawthornspoke.protocol import Frame, Manifest, ManifestAsk
from hawthornspoke.spread._ports import ORIGIN_FAILED
from hawthornspoke.spread._stock import weights_name

#: Hosts of the own region that are asked before the origin, and seconds that each
#: may take: it may be reading the list itself, which takes 0.1 s and more on a link
#: that other lists fill.
MOST_ASKED = 2
ASK_TIMEOUT = 0.6

#: Seconds between two looks whether a list that was asked for has come.
LOOK_EVERY = 0.05

#: Lists that are kept; older versions are of no use to anybody.
KEPT = 4

DIGEST = re.compile(r"[0-9a-f]{64}")

NOT_KNOWN = Failure(code="digests_not_known")


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

    __slots__ = ("_origin", "_exchange", "_log", "_digests_by_name", "_distrusted")

    def __init__(self, *, origin, exchange, log):
        self._origin = origin
        self._exchange = exchange
        self._log = log
        self._digests_by_name = {}
        self._distrusted = set()

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
        # A list that proved wrong came to the neighbours from the same source.
        if name not in self._distrusted:
            digests = await self._ask_region(name)
        if is_failure(digests):
            digests = await self._read_origin(model, version)
        if is_failure(digests):
            return digests
        if not all(DIGEST.fullmatch(digest) for digest in digests):
            return ORIGIN_FAILED.because("what should be digests are none")
        self._digests_by_name[name] = digests
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
        deadline = asyncio.get_running_loop().time() + ASK_TIMEOUT
        while name not in self._digests_by_name:
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(LOOK_EVERY)
        digests = self._digests_by_name.get(name)
        if digests is not None:
            digests = [bytes.fromhex(digest) for digest in digests]
        link.send(Frame(call=-frame.call, manifest=Manifest(digests=digests)))

    async def _ask_region(self, name):
        nodes = self._exchange.region_nodes()
        for node in rendezvous_order(key=name, nodes=nodes)[:MOST_ASKED]:
            if node == self._exchange.node:
                break
            frame = Frame(manifest_ask=ManifestAsk(weights=name))
            answer = await self._exchange.ask(node, frame, timeout=ASK_TIMEOUT)
            if is_failure(answer) or answer.manifest is None:
                continue
            if answer.manifest.digests:
                return tuple(digest.hex() for digest in answer.manifest.digests)
        return NOT_KNOWN

    async def _read_origin(self, model, version):
        address = self._exchange.origin_address
        if address is None:
            return NOT_KNOWN.because("no origin is known")
        self._log.decision("manifest", version=version, origin=address)
        return await self._origin.manifest(address, model, version)

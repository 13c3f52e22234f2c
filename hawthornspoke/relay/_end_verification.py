"""Verifies that answers which end with their connection are whole.

An answer with neither a length nor chunks ends in the same way if its endpoint crashes.
It is whole only if the process that sent it is shown to run after the end.
"""

import asyncio
import contextlib
import uuid

from hawthornspoke.base import Failure, StallTolerantTimeout, monotonic
from hawthornspoke.httpio import encode_request, refuses_connections

#: Seconds within which a proof must arrive. Callers abandon a stream that sends nothing
#: for two seconds, and another endpoint may have to go on with it in that time.
VERIFY_TIME = 1.0

#: Timeout in seconds of one probe. A full endpoint may let it wait for a slot, and
#: other connections can be used meanwhile.
PROBE_TIMEOUT = 0.4

#: Seconds between two probes over new connections, and between two checks of kept ones.
PROBE_INTERVAL = 0.2
KEPT_CHECK_INTERVAL = 0.05

#: Seconds after which a new connection is probed beside a kept one. A kept one mostly
#: answers earlier, and costs less.
NEW_CONNECTION_DELAY = 0.1

#: Id that no endpoint has. An endpoint refuses a request for another one at once, even
#: if all its slots are in use.
NO_ENDPOINT = "none"

#: Response status to a request for another endpoint.
MISDIRECTED = 421

#: Proofs that an endpoint runs after an end, as logged.
KEPT_CONNECTION = "kept_connection"
ENDPOINT_ID = "endpoint_id"

#: Reasons why there is no proof.
REPLACED = "replaced"
REFUSED = "refused"
TIMEOUT = "timeout"


class EndVerifier:
    """Finds out whether the process that sent an answer runs after its end.

    Parameters
    ----------
    pool : ConnectionPool
    fleet : Fleet
    header_names : HeaderNames
    """

    __slots__ = ("_pool", "_fleet", "_header_names")

    def __init__(self, *, pool, fleet, header_names):
        self._pool = pool
        self._fleet = fleet
        self._header_names = header_names

    async def verify(self, placement, *, service, sent_at):
        """Look for a proof until there is one, or none can come in time.

        Parameters
        ----------
        placement : Placement
            Of the endpoint whose answer has ended.
        service : str
        sent_at : float
            When its request was sent, on the monotonic clock.

        Returns
        -------
        (bool, str)
            Whether the endpoint is proven to run, and the proof or why there is none.
        """
        search = _ProofSearch(
            pool=self._pool,
            fleet=self._fleet,
            header_names=self._header_names,
            placement=placement,
            service=service,
            sent_at=sent_at,
        )
        try:
            async with StallTolerantTimeout(VERIFY_TIME):
                return await search.run()
        except TimeoutError:
            return False, TIMEOUT


class _ProofSearch:
    """The search for a proof that one endpoint runs after the end of an answer.

    Connections that were opened before the request of the answer was sent belong to
    the process that received it, as this was running from then until it answered. An
    answer on one of these to a request that is sent after the end proves that it still
    runs. Answers to earlier requests prove nothing: after a cut of the link they arrive
    in any order with the end, from a process that may have crashed meanwhile.
    """

    __slots__ = (
        "_pool",
        "_fleet",
        "_header_names",
        "_placement",
        "_health_path",
        "_sent_at",
        "_no_kept_probe",
    )

    def __init__(self, *, pool, fleet, header_names, placement, service, sent_at):
        self._pool = pool
        self._fleet = fleet
        self._header_names = header_names
        self._placement = placement
        known = fleet.service_by_name.get(service)
        self._health_path = None if known is None else known.health_path
        self._sent_at = sent_at
        self._no_kept_probe = asyncio.Event()
        self._no_kept_probe.set()

    async def run(self):
        """Return whether there is a proof, and which, or why there is none."""
        kept = asyncio.create_task(self._probe_kept_connections())
        new = asyncio.create_task(self._probe_new_connections())
        try:
            await asyncio.wait([kept, new], return_when=asyncio.FIRST_COMPLETED)
            return kept.result() if kept.done() else new.result()
        finally:
            kept.cancel()
            new.cancel()
            await asyncio.gather(kept, new, return_exceptions=True)

    async def _probe_kept_connections(self):
        """Probe connections opened early enough, until there is a result of ``run``."""
        placement = self._placement
        while not self._fleet.is_replaced(placement):
            connection = self._pool.acquire_kept(
                placement.endpoint_id,
                incarnation=placement.incarnation,
                opened_before=self._sent_at,
            )
            if connection is None:
                await asyncio.sleep(KEPT_CHECK_INTERVAL)
            elif await self._probe_kept_connection(connection):
                return True, KEPT_CONNECTION
        return False, REPLACED

    async def _probe_kept_connection(self, connection):
        """Return whether the endpoint answers on a kept connection."""
        self._no_kept_probe.clear()
        try:
            response, request_id = await self._refused_probe(connection)
        finally:
            self._no_kept_probe.set()
        self._return_or_abort(connection, response, request_id)
        return response is not None and self._answers(response, request_id)

    async def _probe_new_connections(self):
        """Probe new connections until there is a result of ``run``."""
        with contextlib.suppress(TimeoutError):
            async with StallTolerantTimeout(NEW_CONNECTION_DELAY):
                await self._no_kept_probe.wait()
        while True:
            next_probe_at = monotonic() + PROBE_INTERVAL
            result = None
            if self._health_path is not None:
                result = await self._probe_new_connection(is_refused=False)
            if result is None:
                result = await self._probe_new_connection(is_refused=True)
            if result == (False, REFUSED):
                # An endpoint that leaves may accept no connections and still answer.
                await self._no_kept_probe.wait()
            if result is not None:
                return result
            await asyncio.sleep(max(0.0, next_probe_at - monotonic()))

    async def _probe_new_connection(self, *, is_refused):
        """Probe a new connection.

        Parameters
        ----------
        is_refused : bool
            Whether the probe is a request that never runs, not a health check. A full
            endpoint that names itself as it refuses answers it at once.

        Returns
        -------
        (bool, str) or None
            See ``_identity_result``.
        """
        address = self._placement.address
        connection = await self._pool.open(address)
        if isinstance(connection, Failure):
            if await refuses_connections(address, timeout=PROBE_TIMEOUT):
                return False, REFUSED
            return None
        request_id = None
        if is_refused:
            response, request_id = await self._refused_probe(connection)
        else:
            response = await self._probe(
                connection, expected_id=self._placement.endpoint_id
            )
        result = None
        if response is not None:
            result = self._identity_result(response, is_refused=is_refused)
        if result is not None and result[0]:
            self._return_or_abort(connection, response, request_id)
        else:
            connection.abort()
        return result

    def _identity_result(self, response, *, is_refused):
        """Return what a response on a new connection shows of the one that sent it.

        Parameters
        ----------
        response : Response
        is_refused : bool
            See ``_probe_new_connection``.

        Returns
        -------
        (bool, str) or None
            The result of ``run``: that the endpoint runs, or that another one has its
            address. None if the response doesn't tell.
        """
        endpoint_id = self._placement.endpoint_id
        received_id = response.get(self._header_names.endpoint_id)
        is_misdirected = response.status == MISDIRECTED and not is_refused
        if is_misdirected or received_id not in (None, endpoint_id):
            return False, REPLACED
        if received_id is None:
            return None
        if self._fleet.is_replaced(self._placement):
            return False, REPLACED
        return True, ENDPOINT_ID

    async def _refused_probe(self, connection):
        """Send a request that never runs; return its response and its id."""
        request_id = uuid.uuid4().hex
        response = await self._probe(
            connection, expected_id=NO_ENDPOINT, request_id=request_id
        )
        return response, request_id

    async def _probe(self, connection, *, expected_id, request_id=None):
        """Return the response to a request; a health check has no request id."""
        placement, names = self._placement, self._header_names
        headers = [("Host", placement.address), (names.expected_endpoint, expected_id)]
        if request_id is not None:
            headers.append((names.request_id, request_id))
        if connection.is_socket_closed():
            return None
        exchange = connection.send(
            encode_request(
                method="GET", target=self._health_path or "/", headers=headers
            ),
            expected_id=None,
        )
        try:
            async with StallTolerantTimeout(PROBE_TIMEOUT):
                response = await exchange.read_whole()
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            connection.abort()
            raise
        return None if isinstance(response, Failure) else response

    def _answers(self, response, request_id):
        """Return whether a response on a kept connection answers the refused probe.

        Another one may have been sent before the end: a late response to an earlier
        request, or a repeated one. An endpoint that echoes no id is known by its
        refusal, as no connection is kept after such a refusal.
        """
        names = self._header_names
        received_id = response.get(names.request_id)
        if received_id is not None:
            return received_id == request_id
        return response.status == MISDIRECTED and response.get(names.seal) is None

    def _return_or_abort(self, connection, response, request_id):
        """Keep a connection only if a repeated response can be recognized later."""
        placement = self._placement
        received_id = None
        if response is not None:
            received_id = response.get(self._header_names.request_id)
        if received_id is None or received_id != request_id:
            connection.abort()
            return
        self._pool.return_connection(
            placement.endpoint_id, connection, incarnation=placement.incarnation
        )

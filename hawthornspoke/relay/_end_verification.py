"""Verifies that answers which end with their connection are whole.

An answer with neither a length nor chunks ends in the same way if its endpoint crashes.
It is whole only if the process that sent it is shown to run after the end.
"""

import asyncio
import uuid

from hawthornspoke.base import Failure, monotonic
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
LATE = "late"


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
            async with asyncio.timeout(VERIFY_TIME):
                return await search.run()
        except TimeoutError:
            return False, LATE


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
    )

    def __init__(self, *, pool, fleet, header_names, placement, service, sent_at):
        self._pool = pool
        self._fleet = fleet
        self._header_names = header_names
        self._placement = placement
        known = fleet.service_by_name.get(service)
        self._health_path = None if known is None else known.health_path
        self._sent_at = sent_at

    async def run(self):
        """Return whether there is a proof, and which, or why there is none."""
        next_probe_at = monotonic()
        while True:
            if self._fleet.is_replaced(self._placement):
                return False, REPLACED
            if await self._probe_kept_connections():
                return True, KEPT_CONNECTION
            if monotonic() >= next_probe_at:
                result = await self._probe_new_connection()
                if result is not None:
                    return result
                next_probe_at = monotonic() + PROBE_INTERVAL
            await asyncio.sleep(KEPT_CHECK_INTERVAL)

    async def _probe_kept_connections(self):
        """Return whether the endpoint answers on a connection opened early enough."""
        placement = self._placement
        while True:
            connection = self._pool.acquire_kept(
                placement.endpoint_id,
                incarnation=placement.incarnation,
                opened_before=self._sent_at,
            )
            if connection is None:
                return False
            response, request_id = await self._refused_probe(connection)
            is_proof = response is not None and self._answers(response, request_id)
            self._return_or_abort(connection, response, request_id)
            if is_proof:
                return True

    async def _probe_new_connection(self):
        """Return the result of ``run``, None if a new connection proves nothing."""
        address = self._placement.address
        connection = await self._pool.open(address)
        if isinstance(connection, Failure):
            if await refuses_connections(address, timeout=PROBE_TIMEOUT):
                return False, REFUSED
            return None
        expected_id, request_id = self._placement.endpoint_id, None
        if self._health_path is not None:
            response = await self._probe(connection, expected_id=expected_id)
        else:
            # Only a request for another endpoint never runs.
            expected_id = NO_ENDPOINT
            response, request_id = await self._refused_probe(connection)
        result = None
        if response is not None:
            result = self._check_identity(response, expected_id)
        if result is not None and result[0]:
            self._return_or_abort(connection, response, request_id)
        else:
            connection.abort()
        return result

    def _check_identity(self, response, expected_id):
        endpoint_id = self._placement.endpoint_id
        received_id = response.get(self._header_names.endpoint_id)
        if received_id not in (None, endpoint_id):
            return False, REPLACED
        if response.status == MISDIRECTED and expected_id == endpoint_id:
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
            async with asyncio.timeout(PROBE_TIMEOUT):
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
        """Keep a connection only if a repetition of the response can be told later."""
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

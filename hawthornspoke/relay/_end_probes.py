"""Probes by which an endpoint shows that it runs, without a request of a caller."""

import asyncio
import uuid

from hawthornspoke.base import Failure, StallTolerantTimeout
from hawthornspoke.httpio import encode_request
from hawthornspoke.relay._try import MISDIRECTED

#: Timeout in seconds of one probe. A full endpoint may let it wait for a slot, and
#: other connections can be used meanwhile.
PROBE_TIMEOUT = 0.4

#: Id that no endpoint has. An endpoint refuses a request for another one at once, even
#: if all its slots are in use.
NO_ENDPOINT = "none"


class ProbeResponse:
    """What the response to a probe shows.

    Attributes
    ----------
    is_answer : bool
        Whether it was sent after the probe. Another one may be a late response to an
        earlier request, or a repeated one.
    endpoint_id : str or None
        Of the endpoint that sent it, if it says so.
    is_misdirected : bool
        Whether another endpoint than the sender was expected.
    leaves_reusable : bool
        Whether a later repetition of it on the connection can be recognized.
    """

    __slots__ = ("is_answer", "endpoint_id", "is_misdirected", "leaves_reusable")

    def __init__(self, *, is_answer, endpoint_id, is_misdirected, leaves_reusable):
        self.is_answer = is_answer
        self.endpoint_id = endpoint_id
        self.is_misdirected = is_misdirected
        self.leaves_reusable = leaves_reusable


class EndpointProber:
    """Sends probes over given connections.

    Parameters
    ----------
    fleet : Fleet
    header_names : HeaderNames
    metrics : Metrics
    """

    __slots__ = ("_fleet", "_header_names", "_metrics")

    def __init__(self, *, fleet, header_names, metrics):
        self._fleet = fleet
        self._header_names = header_names
        self._metrics = metrics

    def has_health_path(self, service):
        """Return whether a service's endpoints have a health check."""
        return self._health_path(service) is not None

    async def send_refused(self, connection, *, address, service):
        """Send a request that never runs, as it is for another endpoint.

        Parameters
        ----------
        connection : ClientConnection
        address, service : str

        Returns
        -------
        ProbeResponse or None
            None without a response in time.
        """
        request_id = uuid.uuid4().hex
        response = await self._send(
            connection,
            address=address,
            service=service,
            expected_id=NO_ENDPOINT,
            request_id=request_id,
        )
        if response is None:
            return None
        names = self._header_names
        received_id = response.get(names.request_id)
        is_answer = received_id == request_id
        if received_id is None:
            # An endpoint that echoes no id is known by its refusal, as no connection
            # is kept after such a refusal.
            is_refusal = response.status == MISDIRECTED
            is_answer = is_refusal and response.get(names.seal) is None
        return ProbeResponse(
            is_answer=is_answer,
            endpoint_id=response.get(names.endpoint_id),
            is_misdirected=False,
            leaves_reusable=received_id == request_id,
        )

    async def send_health_check(self, connection, *, address, service, endpoint_id):
        """Send a health check that only one endpoint answers.

        Parameters
        ----------
        connection : ClientConnection
            Can't carry another request afterwards.
        address, service, endpoint_id : str

        Returns
        -------
        ProbeResponse or None
            None without a response in time.
        """
        response = await self._send(
            connection, address=address, service=service, expected_id=endpoint_id
        )
        if response is None:
            return None
        return ProbeResponse(
            is_answer=True,
            endpoint_id=response.get(self._header_names.endpoint_id),
            is_misdirected=response.status == MISDIRECTED,
            leaves_reusable=False,
        )

    def _health_path(self, service):
        known = self._fleet.service_by_name.get(service)
        return None if known is None else known.health_path

    async def _send(
        self, connection, *, address, service, expected_id, request_id=None
    ):
        # A health check has no request id: it may run, and no caller sent one.
        names = self._header_names
        headers = [("Host", address), (names.expected_endpoint, expected_id)]
        if request_id is not None:
            headers.append((names.request_id, request_id))
        if connection.is_socket_closed():
            return None
        self._metrics.count("end_probes_total")
        target = self._health_path(service) or "/"
        exchange = connection.send(
            encode_request(method="GET", target=target, headers=headers),
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

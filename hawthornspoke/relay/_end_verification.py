"""Verifies that answers which end with their connection are whole.

An answer with neither a length nor chunks ends in the same way if its endpoint crashes,
or if something between closes the connection. It is whole only if the process that sent
it is shown to run after the end, and no other connection was lost with its own.
"""

import asyncio
import contextlib

from hawthornspoke.base import Failure, StallTolerantTimeout, monotonic
from hawthornspoke.httpio import refuses_connections
from hawthornspoke.relay._end_probes import PROBE_TIMEOUT, EndpointProber
from hawthornspoke.relay._probe_connections import ProbeConnections

#: Seconds within which a proof must arrive. Callers abandon a stream that sends nothing
#: for two seconds, and another endpoint may have to go on with it in that time.
VERIFY_TIME = 1.0

#: Seconds between two probes over new connections, and between two checks of kept ones.
PROBE_INTERVAL = 0.2
KEPT_CHECK_INTERVAL = 0.05

#: Seconds after which a new connection is probed beside a kept one. A kept one mostly
#: answers earlier, and costs less.
NEW_CONNECTION_DELAY = 0.1

#: Seconds before and after an end within which connections that are lost may have been
#: ended by the same event.
JOINT_TIME = 0.025

#: Seconds between ends without framing that one event may have caused; where many
#: answers are under way, sound ones end within a few milliseconds by chance.
SIMULTANEOUS_TIME = 0.003

#: Other endpoints and agents from which a fault at this host or its link is likelier
#: than the end of a process.
MIN_PEERS_LOST = 2

#: Age in seconds from which the loss of a connection to another peer counts. A proxy
#: whose process is gone accepts connections and closes them at once.
MIN_LOST_AGE = 0.025

#: Seconds after which a process that closed its connections in order to end is gone.
SETTLE_TIME = 0.4

#: Proofs that an endpoint runs after an end, as logged.
PROBE_CONNECTION = "probe_connection"
KEPT_CONNECTION = "kept_connection"
ENDPOINT_ID = "endpoint_id"

#: Reasons why an answer isn't whole.
JOINT_END = "joint_end"
REPLACED = "replaced"
REFUSED = "refused"
TIMEOUT = "timeout"


class EndVerifier:
    """Finds out whether an endpoint itself has ended an answer.

    Parameters
    ----------
    pool : ConnectionPool
    fleet : Fleet
    header_names : HeaderNames
    metrics : Metrics
    """

    __slots__ = ("_pool", "_fleet", "_prober", "_probe_connections")

    def __init__(self, *, pool, fleet, header_names, metrics):
        self._pool = pool
        self._fleet = fleet
        self._prober = EndpointProber(
            fleet=fleet, header_names=header_names, metrics=metrics
        )
        self._probe_connections = ProbeConnections(
            pool=pool, prober=self._prober, metrics=metrics
        )

    def prepare(self, placement, *, service):
        """Keep a connection open beside an answer that will end with its own.

        Parameters
        ----------
        placement : Placement
        service : str

        Returns
        -------
        ProbeLease
            To be released when the answer has been verified or abandoned.
        """
        return self._probe_connections.hold(placement, service=service)

    async def verify(self, placement, *, service, sent_at, ended_at, ended_after=None):
        """Look for a proof until there is one, or none can come in time.

        Parameters
        ----------
        placement : Placement
            Of the endpoint whose answer has ended.
        service : str
        sent_at, ended_at : float
            When its request was sent and its answer ended, on the monotonic clock.
        ended_after : float or None, default=None
            Earliest time of the end, if its connection wasn't read before.

        Returns
        -------
        (bool, str)
            Whether the answer is whole, and the proof or why there is none.
        """
        if ended_after is None:
            ended_after = ended_at
        # An answer that ended with its head has no lease of its own.
        lease = self._probe_connections.hold_existing(placement)
        search = _ProofSearch(
            pool=self._pool,
            fleet=self._fleet,
            prober=self._prober,
            probe=None if lease is None else lease.probe,
            placement=placement,
            service=service,
            sent_at=sent_at,
            ended_after=ended_after,
            ended_at=ended_at,
        )
        try:
            return await self._verify(search, placement, ended_after, ended_at)
        finally:
            if lease is not None:
                lease.release()

    async def _verify(self, search, placement, ended_after, ended_at):
        # A probe may serve all answers that end within this time.
        probe_at = ended_at + JOINT_TIME + SIMULTANEOUS_TIME
        await asyncio.sleep(max(0.0, probe_at - monotonic()))
        if self._is_joint_end(placement, ended_after, ended_at):
            return False, JOINT_END
        try:
            async with StallTolerantTimeout(VERIFY_TIME):
                is_whole, reason = await search.run()
        except TimeoutError:
            return False, TIMEOUT
        if not is_whole:
            return False, reason
        is_kept = reason != ENDPOINT_ID
        began_at = ended_after - JOINT_TIME
        if not is_kept and not self._pool.losses.covers(began_at, now=monotonic()):
            return False, TIMEOUT
        if self._is_joint_end(placement, ended_after, ended_at, is_kept=is_kept):
            return False, JOINT_END
        return True, reason

    def _is_joint_end(self, placement, ended_after, ended_at, *, is_kept=True):
        """Return whether other connections ended by the same event as an answer.

        Parameters
        ----------
        placement : Placement
        ended_after, ended_at : float
            Earliest and latest time of the end.
        is_kept : bool, default=True
            Whether a connection to the endpoint stays open. If none does, less is
            enough.

        Returns
        -------
        bool
        """
        pool = self._pool
        began_at = ended_after - JOINT_TIME
        if placement.address in pool.losses.count_by_address(since=began_at):
            return True
        lost = pool.losses.count_by_address(
            since=began_at, until=ended_at + JOINT_TIME, min_age=MIN_LOST_AGE
        )
        if len(lost) >= (MIN_PEERS_LOST if is_kept else 1):
            return True
        # A process that ends loses all its connections, a fault of a link may not.
        if any(pool.has_open(peer, opened_before=began_at) for peer in lost):
            return True
        if is_kept:
            return False
        ended = pool.unframed_ends.count_by_address(
            since=ended_after - SIMULTANEOUS_TIME, until=ended_at + SIMULTANEOUS_TIME
        )
        return ended[placement.address] > 1


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
        "_prober",
        "_probe",
        "_placement",
        "_service",
        "_sent_at",
        "_ended_after",
        "_ended_at",
        "_kept_searched",
    )

    def __init__(
        self,
        *,
        pool,
        fleet,
        prober,
        probe,
        placement,
        service,
        sent_at,
        ended_after,
        ended_at,
    ):
        self._pool = pool
        self._fleet = fleet
        self._prober = prober
        self._probe = probe
        self._placement = placement
        self._service = service
        self._sent_at = sent_at
        self._ended_after = ended_after
        self._ended_at = ended_at
        # Set while no kept connection is left to be probed.
        self._kept_searched = asyncio.Event()

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
        probe_after = self._ended_at + JOINT_TIME
        if self._is_leaving():
            await self._settle()
            probe_after = self._ended_at + SETTLE_TIME
        while not self._fleet.is_replaced(placement):
            result = await self._probe_open_connection(probe_after)
            if result is not None:
                return result
            connection = self._pool.acquire_kept(
                placement.endpoint_id,
                incarnation=placement.incarnation,
                opened_before=self._sent_at,
            )
            if connection is None:
                self._kept_searched.set()
                await asyncio.sleep(KEPT_CHECK_INTERVAL)
                self._kept_searched.clear()
            elif await self._probe_kept_connection(connection):
                return True, KEPT_CONNECTION
        return False, REPLACED

    async def _probe_open_connection(self, probe_after):
        """Return a result of ``run`` over the connection kept open beside the answer.

        Returns
        -------
        (bool, str) or None
        """
        if self._probe is None:
            return None
        runs = await self._probe.prove(
            sent_at=self._sent_at,
            ended_at=self._ended_after,
            # The end of an answer is seen some time after the event that caused it.
            opened_before=self._ended_after - JOINT_TIME,
            probe_after=probe_after,
        )
        if runs is None:
            return None
        return (True, PROBE_CONNECTION) if runs else (False, REPLACED)

    async def _probe_kept_connection(self, connection):
        """Return whether the endpoint answers on a kept connection."""
        response = await self._send_refused(connection)
        self._return_or_abort(connection, response)
        return response is not None and response.is_answer

    async def _probe_new_connections(self):
        """Probe new connections until there is a result of ``run``.

        That an endpoint runs counts only once a process that is ending would be gone;
        that it doesn't counts at once.
        """
        with contextlib.suppress(TimeoutError):
            async with StallTolerantTimeout(NEW_CONNECTION_DELAY):
                await self._kept_searched.wait()
        while True:
            sent_at = monotonic()
            result = None
            if self._prober.has_health_path(self._service):
                result = await self._probe_new_connection(is_refused=False)
            if result is None:
                result = await self._probe_new_connection(is_refused=True)
            if result == (False, REFUSED):
                # An endpoint that leaves may accept no connections and still answer.
                await self._kept_searched.wait()
            if result is not None:
                has_settled = sent_at >= self._ended_at + SETTLE_TIME
                if has_settled or not result[0]:
                    return result
                await self._settle()
            else:
                await asyncio.sleep(max(0.0, sent_at + PROBE_INTERVAL - monotonic()))

    async def _settle(self):
        """Wait until a process that closed its connections to end would be gone."""
        await asyncio.sleep(max(0.0, self._ended_at + SETTLE_TIME - monotonic()))

    def _is_leaving(self):
        endpoint = self._fleet.endpoint_by_id.get(self._placement.endpoint_id)
        return endpoint is None or endpoint.is_leaving

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
            The result of ``run``: that the endpoint runs, or that another one has its
            address. None if the response doesn't tell.
        """
        placement = self._placement
        connection = await self._pool.open(placement.address)
        if isinstance(connection, Failure):
            if await refuses_connections(placement.address, timeout=PROBE_TIMEOUT):
                return False, REFUSED
            return None
        if is_refused:
            response = await self._send_refused(connection)
        else:
            response = await self._prober.send_health_check(
                connection,
                address=placement.address,
                service=self._service,
                endpoint_id=placement.endpoint_id,
            )
        result = None if response is None else self._identity_result(response)
        if result is not None and result[0]:
            self._return_or_abort(connection, response)
        else:
            connection.abort()
        return result

    def _identity_result(self, response):
        """Return what a response on a new connection shows of the one that sent it."""
        endpoint_id = self._placement.endpoint_id
        is_other = response.endpoint_id not in (None, endpoint_id)
        if response.is_misdirected or is_other:
            return False, REPLACED
        if response.endpoint_id is None:
            return None
        if self._fleet.is_replaced(self._placement):
            return False, REPLACED
        return True, ENDPOINT_ID

    async def _send_refused(self, connection):
        return await self._prober.send_refused(
            connection, address=self._placement.address, service=self._service
        )

    def _return_or_abort(self, connection, response):
        """Keep a connection only if a repeated response can be recognized later."""
        if response is None or not response.leaves_reusable:
            connection.abort()
            return
        placement = self._placement
        self._pool.return_connection(
            placement.endpoint_id, connection, incarnation=placement.incarnation
        )

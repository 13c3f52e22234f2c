"""Rate limits that endpoints name in their responses, and permits within them.

A limit holds for the requests of all entry hosts together. So an entry host reports the
limits that it learns to an agent, which passes them on to all entry hosts, and claims a
permit from it for each request to such an endpoint. All entry hosts choose the same
agent for an endpoint.
"""

import asyncio
import random
from dataclasses import replace

from hawthornspoke.base import is_failure, monotonic, rendezvous_order
from hawthornspoke.permits import (
    LIMIT_LIFETIME,
    PermitAllocator,
    PermitsGranted,
    RateLimitReported,
    decode_grant,
    decode_rate_limits,
    encode_claim,
    encode_report,
)
from hawthornspoke.protocol import Frame
from hawthornspoke.relay._permit_waits import PermitWaits
from hawthornspoke.relay._signals import log_signal_change
from hawthornspoke.signals import RATE_LIMIT

#: Timeout in seconds of a claim. After it, this host uses an equal part of the limit.
CLAIM_TIMEOUT = 0.5

#: Maximum seconds, and maximum share of its remaining time, for which a request waits
#: for a permit.
MAX_PERMIT_WAIT = 0.3
MAX_WAIT_SHARE = 1 / 3


class EndpointRateLimits:
    """Shares the rate limits that responses name, and claims permits for requests.

    Parameters
    ----------
    fleet : Fleet
    entry_hosts : callable
        Returns the estimated number of entry hosts.
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_fleet",
        "_entry_hosts",
        "_log",
        "_metrics",
        "_link_by_address",
        "_end_by_endpoint",
        "_local_allocator",
        "_tasks",
        "_waits",
    )

    def __init__(self, *, fleet, entry_hosts, log, metrics):
        self._fleet = fleet
        self._entry_hosts = entry_hosts
        self._log = log
        self._metrics = metrics
        self._link_by_address = {}
        # Reports that limits have ended, as learned from responses to this host.
        self._end_by_endpoint = {}
        self._local_allocator = PermitAllocator(takeover_delay=0.0)
        self._tasks = set()
        self._waits = PermitWaits()

    def add_agent(self, address, link):
        """Add a connected agent, and repeat the ends of limits that it now divides.

        It may have been away when they were reported, so that hosts which are connected
        to it would keep to a limit that has ended.

        Parameters
        ----------
        address : str
            Address of its endpoint.
        link : PeerConnection
        """
        self._link_by_address[address] = link
        now = monotonic()
        self._forget_old_ends(now)
        repeated = [
            encode_report(report, now=now)
            for endpoint_id, report in self._end_by_endpoint.items()
            if self._allocator_address(endpoint_id) == address
        ]
        if repeated:
            link.send(Frame(rate_limits=repeated))

    def remove_agent(self, address):
        """Remove an agent whose connection was closed."""
        self._link_by_address.pop(address, None)

    def share(self, changed):
        """Report a rate limit that a response has changed to the other entry hosts.

        Parameters
        ----------
        changed : SignalChanged
            Changes of other signals are ignored.
        """
        if changed.signal != RATE_LIMIT:
            return
        now = monotonic()
        report = RateLimitReported(
            endpoint_id=changed.endpoint_id,
            rate=changed.value,
            incarnation=changed.incarnation,
        )
        self._forget_old_ends(now)
        self._end_by_endpoint.pop(changed.endpoint_id, None)
        if changed.value is None:
            end = replace(report, learned_at=now)
            self._end_by_endpoint[changed.endpoint_id] = end
        link = self._allocator(changed.endpoint_id)
        if link is not None:
            link.send(Frame(rate_limits=[encode_report(report, now=now)]))

    def receive(self, address, frame):
        """Record the limits that other entry hosts have learned.

        Parameters
        ----------
        address : str
            Address of the endpoint of the agent that sent them.
        frame : Frame
        """
        for update in decode_rate_limits(frame.rate_limits):
            # Another agent divided the limit only while this one was away, and hasn't
            # received its end.
            if self._allocator_address(update.endpoint_id) != address:
                continue
            if update.rate is not None:
                self._end_by_endpoint.pop(update.endpoint_id, None)
            for changed in self._fleet.step(update, now=monotonic()):
                log_signal_change(self._log, changed, source="entry_host")

    def send_claims(self):
        """Claim the permits that recent selections would have needed."""
        for claim in self._fleet.permit_claims(now=monotonic()):
            self._waits.add_claim(claim.endpoint_id)
            task = asyncio.get_running_loop().create_task(self._claim(claim))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_for_permit(self, endpoint_ids, *, time_left):
        """Wait for a permit for one of several endpoints; see ``PermitWaits.wait``.

        Parameters
        ----------
        endpoint_ids : tuple of str
        time_left : float
            Seconds until the deadline of the request.

        Returns
        -------
        bool
        """
        seconds = min(MAX_PERMIT_WAIT, time_left * MAX_WAIT_SHARE)
        return await self._waits.wait(endpoint_ids, seconds=seconds)

    def end_forbidden_waits(self):
        """End the waits for permits of endpoints in evacuated failure domains."""
        evacuated = self._fleet.constraints.evacuated_domains
        for endpoint_id, endpoint in self._fleet.endpoint_by_id.items():
            if endpoint.entry.failure_domain in evacuated:
                self._waits.forbid(endpoint_id)

    def dump(self, *, now):
        """Return the state as plain data; the limits are in that of the Fleet."""
        return {
            "requests_waiting": len(self._waits),
            "ended_limits": len(self._end_by_endpoint),
            "local_permits": self._local_allocator.dump(now=now),
        }

    def close(self):
        """Cancel all claims."""
        for task in self._tasks:
            task.cancel()

    async def _claim(self, claim):
        result = await self._ask_allocator(claim)
        source = "agent"
        if result is None:
            result, source = self._grant_equal_share(claim), "local"
        is_granted = isinstance(result, PermitsGranted)
        outcome = "granted" if is_granted else "denied"
        self._metrics.count("permit_claims_total", outcome=outcome, source=source)
        self._fleet.step(result, now=monotonic())
        self._waits.end_claim(
            claim.endpoint_id, usable_at=result.usable_at if is_granted else None
        )

    async def _ask_allocator(self, claim):
        """Return the allocator's answer to a claim, None if there is none."""
        link = self._allocator(claim.endpoint_id)
        if link is None:
            return None
        claimed_at = monotonic()
        answer = await link.ask(
            Frame(permit_claim=encode_claim(claim)), timeout=CLAIM_TIMEOUT
        )
        if is_failure(answer):
            return None
        return decode_grant(
            answer.permit_grant, claim, claimed_at=claimed_at, now=monotonic()
        )

    def _grant_equal_share(self, claim):
        """Grant permits for this host's equal part of a limit, without an allocator."""
        rate = claim.rate / max(1, self._entry_hosts())
        # Hosts that all lose the allocator at the same time must not all start at once.
        first_delay = random.random() / rate if rate else 0.0
        local_claim = replace(claim, rate=rate, wanted=1, first_delay=first_delay)
        now = monotonic()
        if self._local_allocator.rate_of(claim.endpoint_id) is not None:
            report = RateLimitReported(
                endpoint_id=claim.endpoint_id, rate=rate, incarnation=claim.incarnation
            )
            self._local_allocator.step(report, now=now)
        return self._local_allocator.step(local_claim, now=now)[0]

    def _forget_old_ends(self, now):
        oldest = now - LIMIT_LIFETIME
        for endpoint_id, report in list(self._end_by_endpoint.items()):
            if report.learned_at < oldest:
                del self._end_by_endpoint[endpoint_id]

    def _allocator(self, endpoint_id):
        return self._link_by_address.get(self._allocator_address(endpoint_id))

    def _allocator_address(self, endpoint_id):
        """Return the address of the agent that divides an endpoint's limit, if any.

        That is the endpoint's own agent, or else the first connected one in an order
        that is the same on all hosts.
        """
        endpoint = self._fleet.endpoint_by_id.get(endpoint_id)
        if endpoint is not None and endpoint.entry.address in self._link_by_address:
            return endpoint.entry.address
        order = rendezvous_order(key=endpoint_id, nodes=self._link_by_address)
        return next(iter(order), None)

"""Connections from an entry host to the agents of engines.

An agent is a process beside an engine that reports its state and manages its weights.
A directive tells the agents of a service which weights version is declared, and from
where they can fetch it.
"""

import asyncio
import math
import random

from hawthornspoke.base import Failure, boottime_clock, monotonic
from hawthornspoke.catalog import Incarnation
from hawthornspoke.httpio import ConnectionEnds
from hawthornspoke.peering import PeerConnection, connect
from hawthornspoke.placing import AgentLost, EngineReported, RequestRates
from hawthornspoke.protocol import Frame, HostRequestRates
from hawthornspoke.relay._declaration_dates import DeclarationDates
from hawthornspoke.relay._retry_records import RetryRecords
from hawthornspoke.relay._signals import log_readmission
from hawthornspoke.signals import valid_slowdown

CONNECT_TIMEOUT = 1.0

#: Minimum and maximum seconds between two connection attempts to an agent. The delay
#: is random, since all hosts of a failure domain may start at once.
RECONNECT_PAUSE = (0.3, 0.9)

#: Relative change, and change in requests per second, from which an agent is sent this
#: host's request rates again.
RATE_CHANGE = 0.25
MIN_RATE_CHANGE = 0.5

#: Seconds between two checks whether clocks of agents have to be read again.
CLOCK_CHECK_INTERVAL = 0.5

#: Seconds since this host last knew the platform's state from which an outage is
#: possible, and number of agents whose clocks are then read at each check: only agents
#: that are reached at that time can show that nobody knows more.
UNREAD_AFTER = 1.2
MAX_WITNESSES = 4


class _EncodedDirective:
    """A directive for the agents of a service, encoded on first use.

    ``relevant`` holds the fields that agents act on.
    """

    __slots__ = ("directive", "relevant", "_encoded")

    def __init__(self, *, directive, relevant):
        self.directive = directive
        self.relevant = relevant
        self._encoded = None

    def encoded(self):
        """Return the encoded frame."""
        if self._encoded is None:
            self._encoded = PeerConnection.encode(Frame(directive=self.directive))
        return self._encoded


class AgentLinks:
    """Keeps a connection to each agent; sends directives, receives engine states.

    Parameters
    ----------
    port : int
        Port on which agents listen.
    failure_domain : str
        Failure domain of this host.
    fleet : Fleet
    log : EventLog
    directive_for : callable
        Returns the Directive for the agents of a service's endpoints, None if there
        is none yet.
    on_entry_hosts : callable
        Called with an agent's address and the addresses of the entry hosts that this
        agent reports.
    on_remote_hosts : callable or None, default=None
        Called with an agent's address, and the failure domains and addresses of the
        entry hosts of other failure domains that this agent reports.
    suspects : PoisonRequestTracker
        Exchanges evidence of poison requests with agents.
    rate_limits : EndpointRateLimits
        Exchanges rate limits and permits with agents.
    retry_records : RetryRecords or None, default=None
        Reports this host's retries to the agents of its failure domain.
    earliest_arrival : callable, default=boottime_clock
        Returns a lower bound of the arrival time of data that is read now, which may
        have waited in the socket buffer while this process was stalled.
    unread_for : callable or None, default=None
        Returns the seconds since the platform's state was known, None if it never was.
    losses : ConnectionEnds or None, default=None
        Records the links that agents end.
    """

    __slots__ = (
        "port",
        "_losses",
        "_failure_domain",
        "_fleet",
        "_log",
        "_clock_task",
        "_task_by_address",
        "_link_by_address",
        "_dates_by_address",
        "_directive_for",
        "_on_entry_hosts",
        "_on_remote_hosts",
        "_suspects",
        "_rate_limits",
        "_retry_records",
        "_earliest_arrival",
        "_unread_for",
        "_service_by_address",
        "_sent_by_address",
        "_followed_addresses",
        "_sent_follows_by_address",
        "_sent_rates_by_address",
        "_relevant_by_service",
        "_entry_hosts_by_agent",
    )

    def __init__(
        self,
        *,
        port,
        failure_domain,
        fleet,
        log,
        directive_for,
        on_entry_hosts,
        suspects,
        rate_limits,
        retry_records=None,
        earliest_arrival=boottime_clock,
        on_remote_hosts=None,
        unread_for=None,
        losses=None,
    ):
        self.port = port
        self._losses = losses or ConnectionEnds()
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._log = log
        self._directive_for = directive_for
        self._on_entry_hosts = on_entry_hosts
        self._on_remote_hosts = on_remote_hosts or (lambda address, hosts: None)
        self._suspects = suspects
        self._rate_limits = rate_limits
        self._retry_records = retry_records or RetryRecords(host="")
        self._earliest_arrival = earliest_arrival
        self._unread_for = unread_for or (lambda: None)
        self._clock_task = None
        self._task_by_address = {}
        self._link_by_address = {}
        self._dates_by_address = {}
        self._service_by_address = {}
        self._sent_by_address = {}
        self._followed_addresses = None
        self._sent_follows_by_address = {}
        self._sent_rates_by_address = {}
        self._relevant_by_service = {}
        self._entry_hosts_by_agent = {}

    def set_endpoints(self, service_by_address):
        """Keep connections to exactly the agents of these endpoints.

        Parameters
        ----------
        service_by_address : dict of str to str
            Services by ``IP:PORT`` of the endpoints that have an agent.
        """
        self._service_by_address = wanted = service_by_address
        for address in list(self._task_by_address):
            if address not in wanted:
                self._task_by_address.pop(address).cancel()
        for address in wanted:
            if address not in self._task_by_address:
                task = asyncio.get_running_loop().create_task(
                    self._maintain_link(address)
                )
                self._task_by_address[address] = task

    def entry_hosts(self):
        """Return the estimated number of entry hosts, None if no agent reported one.

        Returns
        -------
        int or None
            The maximum over all agents, since an agent that is cut off sees too few.
        """
        return max(self._entry_hosts_by_agent.values(), default=None)

    def is_listed(self, address):
        """Return whether the endpoint at an address has an agent, connected or not.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.

        Returns
        -------
        bool
        """
        return address in self._service_by_address

    def is_connected(self, address):
        """Return whether the agent of an endpoint is connected.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.

        Returns
        -------
        bool
        """
        return address in self._link_by_address

    def send_directives(self):
        """Send the current directive to every agent that lacks it."""
        directive_by_service = {}
        for address, link in self._link_by_address.items():
            service = self._service_by_address.get(address)
            if service not in directive_by_service:
                directive_by_service[service] = self._encode_directive(service)
            self._send_if_changed(address, link, directive_by_service[service])

    def set_followed(self, followed):
        """Tell each agent whether to report every change of its load to this host.

        Parameters
        ----------
        followed : frozenset of str
            Addresses of the endpoints whose agents should; others report less often.
        """
        self._followed_addresses = followed
        for address, link in self._link_by_address.items():
            self._send_follows(address, link)

    def send_request_rates(self, rates_by_service):
        """Send this host's request rates to the agents for which they have changed.

        Parameters
        ----------
        rates_by_service : dict of str to RequestRates
        """
        for address, link in self._link_by_address.items():
            rates = rates_by_service.get(self._service_by_address.get(address))
            sent = self._sent_rates_by_address.get(address)
            if rates is None or not _has_changed(rates, sent):
                continue
            self._sent_rates_by_address[address] = rates
            message = HostRequestRates(requests=rates.requests, overflow=rates.overflow)
            link.send(Frame(request_rates=message))

    def close(self):
        """Close all connections."""
        if self._clock_task is not None:
            self._clock_task.cancel()
        for task in self._task_by_address.values():
            task.cancel()

    def _dates(self, address):
        dates = self._dates_by_address.get(address)
        if dates is None:
            dates = self._add_dates(address, opened_at=self._earliest_arrival())
        return dates

    def _add_dates(self, address, *, opened_at):
        def log_unusable(reason):
            self._log.change("clock_unusable", agent=address, reason=reason)

        dates = DeclarationDates(opened_at=opened_at, on_unusable=log_unusable)
        self._dates_by_address[address] = dates
        return dates

    def _receive_clock(self, address, link, reading):
        dates = self._dates(address)
        answer = dates.clock.receive(reading, now=boottime_clock())
        if answer is not None:
            link.send(Frame(clock=answer))
        for bounds in dates.update(now=boottime_clock()):
            self._fleet.declared.add_bounds(dates.model, bounds, source=address)

    def _send_follows(self, address, link):
        if self._followed_addresses is None:
            return
        follows = address in self._followed_addresses
        # Until it is told otherwise, an agent reports each change.
        if self._sent_follows_by_address.get(address, True) != follows:
            self._sent_follows_by_address[address] = follows
            link.send(Frame(follows=follows))

    def _send_directive(self, address, link):
        self._send_if_changed(
            address, link, self._encode_directive(self._service_by_address.get(address))
        )

    def _encode_directive(self, service):
        """Return the current directive for the agents of a service, if there is one.

        Its size grows with the number of endpoints, so it is built once per service.
        When it was built once per agent, each change of the list of endpoints blocked
        all requests for 1.2 s at 960 endpoints.
        """
        directive = self._directive_for(service)
        if directive is None:
            return None
        # The directive lists the endpoints, and their entries change whenever an engine
        # has loaded weights. Links have little bandwidth, so the directive is only sent
        # again if a field that agents act on has changed.
        relevant = _relevant_fields(directive)
        known = self._relevant_by_service.get(service)
        if known == relevant:
            # Reuse the same object, so that it can be compared by identity for each
            # agent.
            relevant = known
        self._relevant_by_service[service] = relevant
        return _EncodedDirective(directive=directive, relevant=relevant)

    def _send_if_changed(self, address, link, message):
        if message is None or self._sent_by_address.get(address) is message.relevant:
            return
        self._sent_by_address[address] = message.relevant
        link.send_encoded(message.encoded())

    async def _maintain_link(self, address):
        ip = address.rpartition(":")[0]
        try:
            while True:
                closed = asyncio.get_running_loop().create_future()
                self._add_dates(address, opened_at=boottime_clock())
                link = await connect(
                    ip,
                    self.port,
                    on_frame=lambda link, frame: self._on_frame(address, link, frame),
                    on_closed=lambda _, done=closed: done.done() or done.set_result(0),
                    timeout=CONNECT_TIMEOUT,
                )
                if not isinstance(link, Failure):
                    opened_at = monotonic()
                    await self._serve_link(address, link, closed)
                    self._losses.record(
                        f"{ip}:{self.port}", now=monotonic(), opened_at=opened_at
                    )
                await asyncio.sleep(random.uniform(*RECONNECT_PAUSE))
        finally:
            self._remove(address)

    async def _serve_link(self, address, link, closed):
        self._link_by_address[address] = link
        if self._clock_task is None:
            loop = asyncio.get_running_loop()
            self._clock_task = loop.create_task(self._request_clocks())
        self._log.change("agent_connected", agent=address)
        # Sent first: the agent replies with the addresses of other entry hosts, from
        # which this host can read the configuration that directives are made from.
        link.send(
            Frame(
                entry_domain=self._failure_domain,
                clock=self._dates(address).clock.request(boottime_clock()),
            )
        )
        self._send_directive(address, link)
        self._send_follows(address, link)
        self._suspects.sharing.add_agent(address, link)
        self._rate_limits.add_agent(address, link)
        if self._fleet.failure_domain_at(address) == self._failure_domain:
            self._retry_records.add_agent(address, link)
        try:
            await closed
        finally:
            link.close()
            self._remove(address)
            self._log.change("agent_lost", agent=address)

    async def _request_clocks(self):
        """Read the clocks of agents again where that is due, until cancelled."""
        while True:
            await asyncio.sleep(CLOCK_CHECK_INTERVAL)
            if (self._unread_for() or 0.0) > UNREAD_AFTER:
                self._want_witnesses()
            for address, link in list(self._link_by_address.items()):
                self._request_clock(address, link)

    def _want_witnesses(self):
        addresses = sorted(self._link_by_address)
        for address in random.sample(addresses, min(MAX_WITNESSES, len(addresses))):
            self._dates(address).clock.want_exchange()

    def _request_clock(self, address, link):
        request = self._dates(address).clock.request(boottime_clock())
        if request is not None:
            link.send(Frame(clock=request))

    def _remove(self, address):
        self._link_by_address.pop(address, None)
        self._dates_by_address.pop(address, None)
        self._suspects.sharing.remove_agent(address)
        self._rate_limits.remove_agent(address)
        self._retry_records.remove_agent(address)
        self._sent_by_address.pop(address, None)
        self._sent_follows_by_address.pop(address, None)
        self._sent_rates_by_address.pop(address, None)
        self._entry_hosts_by_agent.pop(address, None)
        self._on_entry_hosts(address, ())
        self._on_remote_hosts(address, ())
        self._fleet.step(AgentLost(address=address), now=monotonic())

    def _on_frame(self, address, link, frame):
        if frame.probe and frame.call is not None:
            # A negative call number marks the response to that call.
            link.send(Frame(call=-frame.call, probe=True))
        if frame.entry_hosts is not None:
            self._on_entry_hosts(address, frame.entry_hosts.addresses or ())
            remote = [
                (host.failure_domain, host.address)
                for host in frame.entry_hosts.remote or ()
                if host.failure_domain and host.address
            ]
            self._on_remote_hosts(address, remote)
        if frame.evidence:
            self._suspects.merge_evidence(frame)
        if frame.rate_limits:
            self._rate_limits.receive(address, frame)
        if frame.retry_history is not None:
            self._retry_records.receive(
                address, frame.retry_history, now=boottime_clock()
            )
        if frame.clock is not None:
            self._receive_clock(address, link, frame.clock)
        if frame.engine_state is not None:
            self._receive_state(address, link, frame.engine_state)

    def _receive_state(self, address, link, state):
        now = monotonic()
        if state.entry_hosts:
            self._entry_hosts_by_agent[address] = state.entry_hosts
        layers = None
        if state.layer_to:
            layers = (state.layer_from or 0, state.layer_to)
        ready_at = None
        if state.next_ready_ms is not None and state.next_ready_ms >= 0:
            ready_at = now + state.next_ready_ms / 1000
        dates = self._dates(address)
        declared, made_at = dates.add_report(state, now=boottime_clock())
        if dates.clock.is_exchange_wanted:
            self._request_clock(address, link)
        report = EngineReported(
            address=address,
            load=(state.running or 0) + (state.waiting or 0),
            weights_version=state.weights_version or None,
            layers=layers,
            loading=bool(state.loading),
            pace=_valid_factor(state.pace) or 1.0,
            next_version=state.next_version or None,
            next_ready_at=ready_at,
            model=state.model or "",
            declared=declared,
            made_at=min(made_at, dates.reached_until),
            link_delay=(state.link_delay_ms or 0) / 1000,
            slowdown=valid_slowdown(state.slowdown),
            incarnation=Incarnation.from_value(state.started_ms),
            request_rates=_request_rate_sums(state),
            boottime_now=boottime_clock(),
        )
        for readmitted in self._fleet.step(report, now=now):
            log_readmission(self._log, readmitted, source="report")


def _valid_factor(reported):
    """Return the factor that an agent reported, None if missing or invalid.

    Comparisons with NaN are always false, so a NaN would cause requests to be placed
    or refused arbitrarily.
    """
    is_known = reported is not None and math.isfinite(reported) and reported > 0
    return reported if is_known else None


def _request_rate_sums(state):
    """Return the RequestRates in an agent's report, None if missing or invalid."""
    rates = (state.local_request_rate, state.overflow_rate)
    if any(item is None or not 0 <= item < math.inf for item in rates):
        return None
    return RequestRates(requests=rates[0], overflow=rates[1])


def _has_changed(rates, sent):
    """Return whether request rates differ considerably from those last sent."""
    if sent is None:
        return True
    return any(
        abs(now - before) > max(MIN_RATE_CHANGE, RATE_CHANGE * before)
        for now, before in (
            (rates.requests, sent.requests),
            (rates.overflow, sent.overflow),
        )
    )


def _relevant_fields(directive):
    peers = directive.peers
    if peers is not None:
        peers = tuple((peer.address, peer.leaving) for peer in peers)
    return (
        directive.weights_version,
        directive.age_ms is None,
        tuple(item.version for item in directive.earlier_versions or ()),
        peers,
        directive.origin_address,
        directive.pieces,
        directive.version_bound_ms,
        directive.health_path,
    )

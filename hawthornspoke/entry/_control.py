"""Control actor of the entry process: routing, rate limits and retries."""

import hashlib

from hawthornspoke.base import Failure, boottime_clock, is_failure, monotonic
from hawthornspoke.config import ServiceView
from hawthornspoke.entry._quarantine_sync import QuarantineSync
from hawthornspoke.limits import (
    AdmissionRequest,
    Admitted,
    ClaimantsUpdated,
    DemandReported,
    RateShares,
    SetLimits,
)
from hawthornspoke.membership import may_relay, silent_peers, summary_targets
from hawthornspoke.node import ControlActor
from hawthornspoke.protocol import Live, Member, Role
from hawthornspoke.retries import RequestCounted, RetryBudget, RetryRequest
from hawthornspoke.routing import (
    AttemptEnded,
    EndpointSelected,
    LoadReported,
    RequestTraits,
    Router,
    RoutingRequest,
)

UNAUTHENTICATED = Failure(code="unauthenticated")
FORBIDDEN = Failure(code="forbidden")
NO_SUCH_SERVICE = Failure(code="no_such_service")
NOT_READY = Failure(code="not_ready")
DRAINING = Failure(code="draining")

#: Maximum number of endpoints per service in a summary, by which an entry host tells
#: other failure domains about the endpoints of its own.
SUMMARY_ENDPOINTS_PER_SERVICE = 4

#: Heartbeats between two summaries sent to the other failure domains.
HEARTBEATS_PER_SUMMARY = 2

#: Seconds after which the full record of an unchanged endpoint is relayed again, for
#: entry hosts that are new or have lost a datagram. In between, light records are
#: relayed, which omit the unchanged fields.
FULL_RECORD_INTERVAL = 5.0

#: Number of heartbeat intervals for which a received record counts as fresh.
FRESH_HEARTBEATS = 2.5

#: Number of heartbeat intervals after its start before an entry host is ready.
WARMUP_HEARTBEATS = 3

#: Seconds within which an accepted revision must be in force on every host
#: (docs/PROMISES.md). Hosts that poll the table read it every second.
MAX_PROPAGATION_DELAY = 5.0

DOMAIN_CLAIMANT_PREFIX = "domain:"
BEARER_PREFIX = "bearer "


class Admission:
    """Organisation and service of an admitted request.

    Parameters
    ----------
    organisation : str
    service : ServiceView
    lowest_urgency : int
        Smallest urgency value, hence the most urgent one, that requests of the
        organisation may have.
    """

    __slots__ = ("organisation", "service", "lowest_urgency")

    def __init__(self, *, organisation, service, lowest_urgency):
        self.organisation = organisation
        self.service = service
        self.lowest_urgency = lowest_urgency


class Endpoint:
    """Endpoint that a request is sent to.

    Parameters
    ----------
    node : str
    address : str
    port : int
    digest : str
        Digest of the weights in use there (live weights), as last reported.
    """

    __slots__ = ("node", "address", "port", "digest")

    def __init__(self, *, node, address, port, digest):
        self.node = node
        self.address = address
        self.port = port
        self.digest = digest


class EntryControl(ControlActor):
    """Owns the router, the rate limits and the retry budget of an entry host.

    Parameters
    ----------
    settings : Settings
    socket : DatagramSocket
    metrics : Metrics
    """

    def __init__(self, *, settings, socket, metrics):
        super().__init__(
            settings=settings, role="entry", socket=socket, metrics=metrics
        )
        self.router = Router(policy=settings["policy"])
        self.limits = RateShares()
        self.retries = RetryBudget(ratio=float(settings["retry_ratio"]))
        self.quarantine_sync = QuarantineSync(
            core=self.core, socket=socket, metrics=metrics
        )
        self.service_by_name = {}
        self.organisation_by_key = {}
        self.organisations = {}
        # Per agent: version of the last full record that this host relayed, and the
        # time at which the next one is due.
        self.full_relay_by_node = {}
        # Per agent that reports to this host: last record, and its time of receipt.
        self.direct_report_by_node = {}
        # Per agent: time until which the record relayed by another entry host is fresh.
        self.copy_deadline_by_node = {}
        self.own_domain = settings["failure_domain"]
        # A new entry host knows no endpoints until their next heartbeats, and would
        # refuse callers needlessly before that.
        warmup = WARMUP_HEARTBEATS * settings["heartbeat_every"]
        self.ready_deadline = monotonic() + warmup

    # Methods called by the request threads.

    def admit(self, *, authorization, service_name, now):
        """Authenticate, authorise and limit one request.

        Parameters
        ----------
        authorization : str
            The request's Authorization header.
        service_name : str
        now : float

        Returns
        -------
        Admission or Failure
        """
        organisation = self._authorise(authorization, service_name, now)
        if is_failure(organisation):
            return organisation
        service = self.service_by_name[service_name]
        (limit,) = self.limits.step(
            AdmissionRequest(organisation=organisation), now=now
        )
        if not isinstance(limit, Admitted):
            return limit.failure
        return Admission(
            organisation=organisation,
            service=service,
            lowest_urgency=self.organisations[organisation].get("lowest_urgency", 0),
        )

    def recheck(
        self, *, authorization, organisation, service_name, node, fingerprint, now
    ):
        """Repeat the checks on a request immediately before it is sent.

        Parameters
        ----------
        authorization : str
        organisation : str
            Organisation that the request was admitted for.
        service_name : str
        node : str
            Node of the endpoint.
        fingerprint : str
            Quarantine fingerprint of the request.
        now : float

        Returns
        -------
        None or Failure
        """
        current_organisation = self._authorise(authorization, service_name, now)
        if is_failure(current_organisation):
            return current_organisation
        if current_organisation != organisation:
            reason = "the key is another organisation's now"
            return self._denial(UNAUTHENTICATED.with_reason(reason), now)
        view = self.core.membership.by_id.get(node)
        is_known = view is not None and view.member is not None
        if not is_known or view.status == "leaving" or view.member.leaving:
            return DRAINING.with_reason(f"{node} leaves")
        return self.quarantine_sync.quarantine_failure(fingerprint, now=now)

    def _authorise(self, authorization, service_name, now):
        """Return the caller's organisation, or a Failure if it has no access."""
        if not self.core.holder.confirmed(now=now):
            reason = "no configuration is in force here yet"
            return NOT_READY.with_reason(reason, retry_after=1.0)
        if not authorization.lower().startswith(BEARER_PREFIX):
            # No configuration permits requests without a key, so it doesn't matter
            # whether this host's configuration is recent.
            return UNAUTHENTICATED.with_reason("no bearer key in Authorization")
        organisation = self._authenticate(authorization)
        if is_failure(organisation):
            return self._denial(organisation, now)
        service = self.service_by_name.get(service_name)
        if service is None:
            missing = NO_SUCH_SERVICE.with_reason(f"no service {service_name!r}")
            return self._denial(missing, now)
        if not service.allows_organisation(organisation):
            reason = f"{service_name!r} is not open to {organisation!r}"
            return self._denial(FORBIDDEN.with_reason(reason), now)
        return organisation

    def _denial(self, failure, now):
        """Return a permanent failure only if the configuration is known to be recent.

        Callers do not retry after a permanent failure such as 401. A host that was
        partitioned while a key was added would return it wrongly, while other hosts
        accept the key. ``not_ready`` makes the caller retry at another host.
        """
        may_reject = self.core.holder.may_reject(
            propagation_bound=MAX_PROPAGATION_DELAY, boottime_now=boottime_clock()
        )
        if may_reject:
            return failure
        self.core.expedite_table_read(now=now)
        reason = f"{failure.code}, by a configuration that may be old"
        return NOT_READY.with_reason(reason, retry_after=1.0)

    def choose(self, *, service, adapter, prefix, digest, excluded, fingerprint, now):
        """Choose an endpoint.

        Parameters
        ----------
        service : ServiceView
        adapter : str
        prefix : str
            Digest of the prompt's start, by which an endpoint that has probably cached
            it is preferred.
        digest : str or None
            Restricts the choice to endpoints with these weights; None for any
            weights that the service accepts.
        excluded : frozenset of str
            Nodes that must not be chosen.
        fingerprint : str
            Quarantine fingerprint of the request.
        now : float

        Returns
        -------
        Endpoint or Failure
        """
        quarantine_failure = self.quarantine_sync.quarantine_failure(
            fingerprint, now=now
        )
        if quarantine_failure is not None:
            return quarantine_failure
        live_by_node = self._live_endpoints(service, adapter, digest)
        message = RoutingRequest(
            traits=RequestTraits(service=service.name, prefix=prefix),
            endpoints=[view for view, _ in live_by_node.values()],
            failure_domain=self.own_domain,
            excluded=excluded,
        )
        (outcome,) = self.router.step(message, now=now)
        if not isinstance(outcome, EndpointSelected):
            return outcome.failure
        view, live = live_by_node[outcome.node]
        return Endpoint(
            node=view.node, address=view.address, port=view.port, digest=live
        )

    def attempt_ended(
        self, *, node, failed, first_byte, done, fingerprint, now, engine_exit_id=""
    ):
        """Update router, retry budget and quarantine with the result of an attempt."""
        outcome = AttemptEnded(node=node, failed=failed, first_byte=first_byte)
        self.router.step(outcome, now=now)
        if done:
            self.retries.step(RequestCounted(), now=now)
            self.quarantine_sync.record_completion(fingerprint, now=now)
        if engine_exit_id:
            self.quarantine_sync.record_engine_exit(
                engine_exit_id, fingerprint, in_use=self.router.in_use(), now=now
            )

    def endpoint_refused(self, *, node, code, key, live, now):
        """Update the state of an endpoint from its refusal."""
        view = self.core.membership.by_id.get(node)
        if view is None or view.member is None:
            return
        if code == "draining":
            # The refusal precedes the next heartbeat; until then the endpoint would
            # get further requests and refuse them.
            view.member.leaving = True
        elif code == "wrong_digest":
            others = [
                item for item in view.member.live or () if item.service_name != key
            ]
            if live is not None:
                others.append(Live(service_name=key, digest=live))
            view.member.live = others

    def ask_retry(self, *, repeatable, was_run, deadline, now):
        """Ask the retry budget whether another attempt may be made.

        Returns
        -------
        RetryAllowed or RetryDenied
        """
        message = RetryRequest(
            repeatable=repeatable, was_run=was_run, deadline=deadline
        )
        (outcome,) = self.retries.step(message, now=now)
        return outcome

    def is_ready(self, *, now):
        """Return whether a load balancer may send callers to this host."""
        if self.leaving or now < self.ready_deadline:
            return False
        return self.core.holder.confirmed(now=now)

    # Hooks called by the base class.

    def apply_document(self, document, *, now):
        """Apply services, organisations and limits of a new document."""
        self.service_by_name = {
            name: ServiceView(name=name, table=table)
            for name, table in document["services"].items()
        }
        self.organisations = document["organisations"]
        self.organisation_by_key = {
            table["key_sha256"]: name for name, table in self.organisations.items()
        }
        rates, bursts = {}, {}
        for name, table in self.organisations.items():
            if "requests_per_second" in table:
                rates[name] = float(table["requests_per_second"])
                bursts[name] = float(table.get("burst", rates[name]))
        limits = SetLimits(rate_by_organisation=rates, burst_by_organisation=bursts)
        self.limits.step(limits, now=now)

    def on_member_changed(self, change, *, now):
        """Remove dead endpoints; send full records to new entry hosts."""
        view = self.core.membership.by_id.get(change.node)
        if change.after == "alive" and view is not None and view.role == "entry":
            # A new entry host lacks the full records that light ones refer to.
            self.full_relay_by_node.clear()
            self.quarantine_sync.send_all(view, now=now)
        if change.after == "dead":
            self.router.forget(change.node)
            self.full_relay_by_node.pop(change.node, None)
            self.copy_deadline_by_node.pop(change.node, None)

    def on_hosts_changed(self, *, now):
        """Update the entry hosts among which the rate limits are shared."""
        counts = {}
        for view in self.core.membership.by_id.values():
            if view.role != "entry" or view.status == "leaving":
                continue
            if view.status == "dead" and not view.listed:
                continue
            claimant = self._claimant(view.node, view.failure_domain)
            counts[claimant] = counts.get(claimant, 0) + 1
        self.limits.step(ClaimantsUpdated(hosts_by_claimant=counts), now=now)

    def send_heartbeat(self, *, now):
        """Send gossip to the own failure domain and a summary to the others."""
        entries = self.core.reachable_entries()
        own = [view for view in entries if view.failure_domain == self.own_domain]
        members = self._direct_reports(now)
        datagram = self.core.gossip(self._member(self.limits.demand(now=now)), members)
        silent = self.core.silent_entries()
        targets = own + silent_peers(
            failure_domain=self.own_domain, silent=silent, round_number=self.seq
        )
        self.socket.send(datagram, [(view.address, view.port) for view in targets])
        if self.seq % HEARTBEATS_PER_SUMMARY == 0 or self.leaving:
            self._send_summary(entries + silent, own, now)
        self.quarantine_sync.resend_recent(now=now)

    def reply_to_heartbeat(self, gossip, source, *, now):
        """Reply with the revision, and with peers if the agent is loading weights."""
        members = []
        if gossip.sender.warming:
            members = self._loading_peers(gossip.sender, now)
        reply = self.core.gossip(self._member({}), members)
        self.socket.send(reply, [source])

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            **super().dump(now=now),
            "router": self.router.dump(now=now),
            "limits": self.limits.dump(now=now),
            "retries": self.retries.dump(now=now),
            "quarantine": self.quarantine_sync.quarantine.dump(now=now),
        }

    def _on_datagram(self, message, now):
        super()._on_datagram(message, now)
        if message.datagram.evidence is not None:
            self.quarantine_sync.merge_evidence(message.datagram.evidence, now=now)
        gossip = message.datagram.gossip
        if gossip is None or gossip.sender is None:
            return
        if gossip.sender.role == Role.ENTRY:
            self._update_demand(gossip.sender, now)
        if gossip.sender.role == Role.AGENT:
            self.direct_report_by_node[gossip.sender.node] = (gossip.sender, now)
            self._update_load(gossip.sender, now)
        fresh = FRESH_HEARTBEATS * self.settings["heartbeat_every"]
        for member in gossip.members or ():
            if gossip.sender.failure_domain == self.own_domain:
                self.copy_deadline_by_node[member.node] = now + fresh
            self._update_load(member, now)

    def _update_demand(self, sender, now):
        claimant = self._claimant(sender.node, sender.failure_domain)
        demand = dict(sender.demand or {})
        message = DemandReported(claimant=claimant, demand_by_organisation=demand)
        self.limits.step(message, now=now)

    def _update_load(self, member, now):
        view = self.core.membership.by_id.get(member.node)
        if view is None or view.member is not member:
            # This host has a newer record of that endpoint.
            return
        message = LoadReported(
            node=member.node,
            running=member.running or 0,
            queued=member.queued or 0,
            slots=member.slots or 1,
            age=(member.age_ms or 0) / 1000,
        )
        self.router.step(message, now=now)

    def _claimant(self, node, failure_domain):
        """Return the name under which an entry host's demand counts in the rate limits.

        The hosts of another failure domain are counted together, because a summary
        reports the total demand of its sender's failure domain.
        """
        if failure_domain == self.own_domain:
            return node
        return DOMAIN_CLAIMANT_PREFIX + failure_domain

    def _authenticate(self, authorization):
        key = authorization[len(BEARER_PREFIX) :].strip()
        name = self.organisation_by_key.get(hashlib.sha256(key.encode()).hexdigest())
        if name is None:
            return UNAUTHENTICATED.with_reason("the key is not one of an organisation")
        return name

    def _live_endpoints(self, service, adapter, digest):
        live_by_node = {}
        key = service.live_key(adapter)
        for view in self.core.membership.nodes(role="agent"):
            for item in view.member.live or ():
                if item.service_name != key:
                    continue
                live = item.digest or ""
                if digest is not None and live != digest:
                    continue
                if service.kind == "plain" or service.accepts_digest(
                    live, adapter=adapter
                ):
                    live_by_node[view.node] = (view, live)
        return live_by_node

    def own_member(self, *, now):
        """Return the state of this node as sent in gossip."""
        return self._member(self.limits.demand(now=now))

    def _member(self, demand):
        return Member(
            node=self.settings["node"],
            role=Role.ENTRY,
            failure_domain=self.own_domain,
            address=self.settings["address"],
            port=self.settings["port"],
            incarnation=self.incarnation,
            seq=self.seq,
            leaving=self.leaving or None,
            revision=self.core.holder.revision,
            demand=demand or None,
        )

    def _direct_reports(self, now):
        """Return the records of reporting agents that this host has to relay."""
        entries = self.core.reachable_entries()
        members = []
        for node, (member, received_at) in list(self.direct_report_by_node.items()):
            age = now - received_at
            if age > FRESH_HEARTBEATS * self.settings["heartbeat_every"]:
                del self.direct_report_by_node[node]
                continue
            relays = may_relay(
                relay=self.settings["node"],
                node=node,
                failure_domain=member.failure_domain,
                entries=entries,
                copy_deadline=self.copy_deadline_by_node.get(node, 0.0),
                now=now,
            )
            if relays:
                members.append(self._relay_record(member, age, now))
        return members

    def _relay_record(self, member, age, now):
        """Return the full record if it changed or is due again, else a light record."""
        last_full = self.full_relay_by_node.get(member.node)
        record_version = (member.incarnation, member.static_seq)
        if last_full is None or last_full[0] != record_version or now >= last_full[1]:
            self.full_relay_by_node[member.node] = (
                record_version,
                now + FULL_RECORD_INTERVAL,
            )
            return _full_record(member, age)
        return Member(
            node=member.node,
            incarnation=member.incarnation,
            seq=member.seq,
            running=member.running,
            queued=member.queued,
            static_seq=member.static_seq,
            light=True,
            age_ms=max(1, int(age * 1000)),
        )

    def _send_summary(self, entries, own, now):
        targets = summary_targets(
            failure_domain=self.own_domain,
            entries=entries,
            sender_index=sorted(
                [self.settings["node"], *(view.node for view in own)]
            ).index(self.settings["node"]),
            round_number=self.seq // HEARTBEATS_PER_SUMMARY,
        )
        if not targets:
            return
        datagram = self.core.gossip(
            self._member(self._domain_demand(now)), self._summary(now)
        )
        self.socket.send(datagram, [(view.address, view.port) for view in targets])

    def _domain_demand(self, now):
        totals = dict(self.limits.demand(now=now))
        for name, claimant in self.limits.demand_by_claimant.items():
            if (
                name.startswith(DOMAIN_CLAIMANT_PREFIX)
                or now >= claimant.stale_deadline
            ):
                continue
            for organisation, demand in claimant.demand_by_organisation.items():
                totals[organisation] = totals.get(organisation, 0.0) + demand
        return totals

    def _summary(self, now):
        """Return the least loaded endpoints per service of this failure domain."""
        by_service = {}
        for view in self.core.membership.by_id.values():
            if view.role != "agent" or view.failure_domain != self.own_domain:
                continue
            if view.member is None or view.status not in ("alive", "leaving"):
                continue
            for item in view.member.live or ():
                load = self.router.load(view.node, now=now)
                ranked = by_service.setdefault(item.service_name, [])
                ranked.append((load, view.node, view))
        chosen = {}
        for ranked in by_service.values():
            for _, node, view in sorted(ranked, key=lambda item: item[:2])[
                :SUMMARY_ENDPOINTS_PER_SERVICE
            ]:
                chosen[node] = _full_record(view.member, now - view.sent_at)
        return list(chosen.values())

    def _loading_peers(self, sender, now):
        services = set(sender.progress or {})
        members = []
        for view in self.core.membership.by_id.values():
            if (
                view.role != "agent"
                or view.member is None
                or not view.accepts_requests()
            ):
                continue
            if view.failure_domain != sender.failure_domain:
                continue
            if services & set(view.member.progress or {}):
                members.append(_full_record(view.member, now - view.sent_at))
        return members


def _full_record(member, age):
    """Return the full record of a member for relaying, with its age."""
    return Member(
        node=member.node,
        role=member.role,
        failure_domain=member.failure_domain,
        address=member.address,
        port=member.port,
        incarnation=member.incarnation,
        seq=member.seq,
        leaving=member.leaving,
        live=member.live,
        running=member.running,
        queued=member.queued,
        slots=member.slots,
        revision=member.revision,
        progress=member.progress,
        warming=member.warming,
        static_seq=member.static_seq,
        age_ms=max(1, int(age * 1000)),
    )

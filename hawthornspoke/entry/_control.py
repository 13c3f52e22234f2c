"""The entry process's control actor: routing, limits and retries."""

import hashlib

from hawthornspoke.base import Failure, contact_clock, is_failure, monotonic
from hawthornspoke.config import ServiceView
from hawthornspoke.entry._suspects import Suspects
from hawthornspoke.limits import (
    Admitted,
    DemandHeard,
    PeersKnown,
    RateShares,
    Request,
    SetLimits,
)
from hawthornspoke.membership import may_relay, summary_targets
from hawthornspoke.node import ControlActor
from hawthornspoke.protocol import Live, Member, Role
from hawthornspoke.retries import AskRetry, RetryBudget, Succeeded
from hawthornspoke.routing import (
    Choose,
    Chosen,
    LoadHeard,
    Outcome,
    RequestTraits,
    Router,
)

UNAUTHENTICATED = Failure(code="unauthenticated")
FORBIDDEN = Failure(code="forbidden")
NO_SUCH_SERVICE = Failure(code="no_such_service")
NOT_READY = Failure(code="not_ready")
DRAINING = Failure(code="draining")

#: Endpoints of one service that a failure domain's summary tells the others of.
SUMMARY_PER_SERVICE = 4

#: Heartbeats after which the summary goes to the other failure domains again.
SUMMARY_EVERY = 2

#: Seconds after which an endpoint's unchanged state is relayed whole again, for
#: entry hosts that are new or have lost a datagram.
WHOLE_EVERY = 5.0

#: Heartbeats for which a record counts as fresh.
FRESH_HEARTBEATS = 2.5

#: Heartbeats that a fresh entry host waits for before it is ready.
FIRST_HEARTBEATS = 3

#: Seconds within which an accepted revision has to be in force on every host
#: (docs/PROMISES.md). Pollers of the table hear from it each second.
CHANGES_BIND_AFTER = 5.0

DOMAIN_CLAIMANT = "domain:"
BEARER = "bearer "


class Admission:
    """An admitted request's organisation and service.

    Parameters
    ----------
    organisation : str
    service : ServiceView
    lowest_urgency : int
        The most urgent that the organisation's requests may be.
    """

    __slots__ = ("organisation", "service", "lowest_urgency")

    def __init__(self, *, organisation, service, lowest_urgency):
        self.organisation = organisation
        self.service = service
        self.lowest_urgency = lowest_urgency


class Endpoint:
    """Where a request is sent.

    Parameters
    ----------
    node : str
    address : str
    port : int
    digest : str
        The weights that are live there, as last heard.
    """

    __slots__ = ("node", "address", "port", "digest")

    def __init__(self, *, node, address, port, digest):
        self.node = node
        self.address = address
        self.port = port
        self.digest = digest


class EntryControl(ControlActor):
    """Owns the router, the limits and the retry budget of an entry host.

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
        self.suspects = Suspects(core=self.core, socket=socket, metrics=metrics)
        self.service_by_name = {}
        self.organisation_by_key = {}
        self.organisations = {}
        # Node to (what was told whole, when to tell it whole again).
        self.relayed_by_node = {}
        # Agents that report here: their last own record, and when it came.
        self.direct_by_node = {}
        # Until when another relay's copy of an agent's record is fresh.
        self.copy_deadline_by_node = {}
        self.domain = settings["failure_domain"]
        # A fresh entry host knows of no endpoint until their next heartbeats:
        # callers sent here before that would be refused for nothing.
        first = FIRST_HEARTBEATS * settings["heartbeat_every"]
        self.ready_deadline = monotonic() + first

    # Calls of the request tasks.

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
        organisation = self._allow(authorization, service_name, now)
        if is_failure(organisation):
            return organisation
        service = self.service_by_name[service_name]
        (limit,) = self.limits.step(Request(organisation=organisation), now=now)
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
        """Look once more at what a request needs, just before it is sent.

        Parameters
        ----------
        authorization : str
        organisation : str
            As it was admitted.
        service_name : str
        node : str
            The endpoint's.
        fingerprint : str
            Of the request.
        now : float

        Returns
        -------
        None or Failure
        """
        allowed = self._allow(authorization, service_name, now)
        if is_failure(allowed):
            return allowed
        if allowed != organisation:
            reason = "the key is another organisation's now"
            return self._denied(UNAUTHENTICATED.because(reason), now)
        view = self.core.membership.by_id.get(node)
        is_known = view is not None and view.member is not None
        if not is_known or view.status == "leaving" or view.member.leaving:
            return DRAINING.because(f"{node} leaves")
        return self.suspects.refusal(fingerprint, now=now)

    def _allow(self, authorization, service_name, now):
        """Return the organisation that may use a service, or a Failure."""
        if not self.core.holder.confirmed(now=now):
            reason = "no configuration is in force here yet"
            return NOT_READY.because(reason, retry_after=1.0)
        if not authorization.lower().startswith(BEARER):
            # No configuration allows that.
            return UNAUTHENTICATED.because("no bearer key in Authorization")
        organisation = self._authenticate(authorization)
        if is_failure(organisation):
            return self._denied(organisation, now)
        service = self.service_by_name.get(service_name)
        if service is None:
            missing = NO_SUCH_SERVICE.because(f"no service {service_name!r}")
            return self._denied(missing, now)
        if not service.serves(organisation):
            reason = f"{service_name!r} is not open to {organisation!r}"
            return self._denied(FORBIDDEN.because(reason), now)
        return organisation

    def _denied(self, failure, now):
        """Return a refusal, for good only if the configuration is known to be new.

        A caller that is told so does not return. On a host that was cut off while
        its key was added it would be told so for nothing; one would notice 401 on
        some hosts only. Told that the host can't tell, it goes to another one.
        """
        may_deny = self.core.holder.may_deny(
            binds_after=CHANGES_BIND_AFTER, contact_now=contact_clock()
        )
        if may_deny:
            return failure
        self.core.hasten_table(now=now)
        reason = f"{failure.code}, by a configuration that may be old"
        return NOT_READY.because(reason, retry_after=1.0)

    def choose(self, *, service, adapter, prefix, digest, excluded, fingerprint, now):
        """Choose an endpoint.

        Parameters
        ----------
        service : ServiceView
        adapter : str
        prefix : str
        digest : str or None
            Only endpoints with exactly these weights; None for any right ones.
        excluded : frozenset of str
        fingerprint : str
            Of the request.
        now : float

        Returns
        -------
        Endpoint or Failure
        """
        refusal = self.suspects.refusal(fingerprint, now=now)
        if refusal is not None:
            return refusal
        live_by_node = self._live_endpoints(service, adapter, digest)
        message = Choose(
            traits=RequestTraits(service=service.name, prefix=prefix),
            endpoints=[view for view, _ in live_by_node.values()],
            failure_domain=self.domain,
            excluded=excluded,
        )
        (outcome,) = self.router.step(message, now=now)
        if not isinstance(outcome, Chosen):
            return outcome.failure
        view, live = live_by_node[outcome.node]
        return Endpoint(
            node=view.node, address=view.address, port=view.port, digest=live
        )

    def attempt_ended(
        self, *, node, failed, first_byte, done, fingerprint, now, engine_end=""
    ):
        """Learn from an attempt."""
        outcome = Outcome(node=node, failed=failed, first_byte=first_byte)
        self.router.step(outcome, now=now)
        if done:
            self.retries.step(Succeeded(), now=now)
            self.suspects.answered(fingerprint, now=now)
        if engine_end:
            self.suspects.engine_ended(
                engine_end, fingerprint, in_use=self.router.in_use(), now=now
            )

    def endpoint_refused(self, *, node, code, key, live, now):
        """Take an endpoint's refusal as the newest news of its state."""
        view = self.core.membership.by_id.get(node)
        if view is None or view.member is None:
            return
        if code == "draining":
            # The refusal is the quickest sign of leaving; waiting for the next
            # heartbeat would send it more requests to refuse.
            view.member.leaving = True
        elif code == "wrong_digest":
            others = [
                item for item in view.member.live or () if item.service_name != key
            ]
            if live is not None:
                others.append(Live(service_name=key, digest=live))
            view.member.live = others

    def ask_retry(self, *, repeatable, was_run, deadline, now):
        """Ask the budget for another attempt.

        Returns
        -------
        RetryAllowed or RetryDenied
        """
        message = AskRetry(repeatable=repeatable, was_run=was_run, deadline=deadline)
        (outcome,) = self.retries.step(message, now=now)
        return outcome

    def is_ready(self, *, now):
        """Tell whether a balancer may send callers here."""
        if self.leaving or now < self.ready_deadline:
            return False
        return self.core.holder.confirmed(now=now)

    # What the base calls.

    def put_in_force(self, document, *, now):
        """Take services, organisations and limits of a new document."""
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

    def member_changed(self, change, *, now):
        """Forget endpoints that are gone; tell new entry hosts everything."""
        view = self.core.membership.by_id.get(change.node)
        if change.after == "alive" and view is not None and view.role == "entry":
            # A fresh neighbour can't complete light records.
            self.relayed_by_node.clear()
            self.suspects.tell_new(view, now=now)
        if change.after == "dead":
            self.router.forget(change.node)
            self.relayed_by_node.pop(change.node, None)
            self.copy_deadline_by_node.pop(change.node, None)

    def hosts_changed(self, *, now):
        """Count the entry hosts that limits are shared with."""
        counts = {}
        for view in self.core.membership.by_id.values():
            if view.role != "entry" or view.status == "leaving":
                continue
            if view.status == "dead" and not view.listed:
                continue
            claimant = self._claimant(view.node, view.failure_domain)
            counts[claimant] = counts.get(claimant, 0) + 1
        self.limits.step(PeersKnown(hosts_by_claimant=counts), now=now)

    def send_heartbeat(self, *, now):
        """Gossip to the own failure domain, and a summary to the others."""
        entries = self.core.reachable_entries()
        own = [view for view in entries if view.failure_domain == self.domain]
        members = self._direct_agents(now)
        datagram = self.core.gossip(self._member(self.limits.demand(now=now)), members)
        self.socket.send(datagram, [(view.address, view.port) for view in own])
        if self.seq % SUMMARY_EVERY == 0 or self.leaving:
            self._send_summary(entries, own, now)
        self.suspects.tell_all(now=now)

    def answer_heartbeat(self, gossip, source, *, now):
        """Tell an agent the revision, and its neighbours if it asks."""
        members = []
        if gossip.sender.warming:
            members = self._neighbours(gossip.sender, now)
        reply = self.core.gossip(self._member({}), members)
        self.socket.send(reply, [source])

    def dump(self, *, now):
        """Return the whole state as plain data."""
        return {
            **super().dump(now=now),
            "router": self.router.dump(now=now),
            "limits": self.limits.dump(now=now),
            "retries": self.retries.dump(now=now),
            "quarantine": self.suspects.quarantine.dump(now=now),
        }

    def _on_datagram(self, message, now):
        super()._on_datagram(message, now)
        if message.datagram.evidence is not None:
            self.suspects.hear(message.datagram.evidence, now=now)
        gossip = message.datagram.gossip
        if gossip is None or gossip.sender is None:
            return
        if gossip.sender.role == Role.ENTRY:
            self._hear_demand(gossip.sender, now)
        if gossip.sender.role == Role.AGENT:
            self.direct_by_node[gossip.sender.node] = (gossip.sender, now)
            self._hear_load(gossip.sender, now)
        fresh = FRESH_HEARTBEATS * self.settings["heartbeat_every"]
        for member in gossip.members or ():
            if gossip.sender.failure_domain == self.domain:
                self.copy_deadline_by_node[member.node] = now + fresh
            self._hear_load(member, now)

    def _hear_demand(self, sender, now):
        claimant = self._claimant(sender.node, sender.failure_domain)
        demand = dict(sender.demand or {})
        message = DemandHeard(claimant=claimant, demand_by_organisation=demand)
        self.limits.step(message, now=now)

    def _hear_load(self, member, now):
        view = self.core.membership.by_id.get(member.node)
        if view is None or view.member is not member:
            # Not the newest state of that endpoint.
            return
        message = LoadHeard(
            node=member.node,
            running=member.running or 0,
            queued=member.queued or 0,
            slots=member.slots or 1,
            age=(member.age_ms or 0) / 1000,
        )
        self.router.step(message, now=now)

    def _claimant(self, node, failure_domain):
        if failure_domain == self.domain:
            return node
        return DOMAIN_CLAIMANT + failure_domain

    def _authenticate(self, authorization):
        key = authorization[len(BEARER) :].strip()
        name = self.organisation_by_key.get(hashlib.sha256(key.encode()).hexdigest())
        if name is None:
            return UNAUTHENTICATED.because("the key is not one of an organisation")
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
                if service.kind == "plain" or service.accepts(live, adapter=adapter):
                    live_by_node[view.node] = (view, live)
        return live_by_node

    def own_member(self, *, now):
        """Return this node's state as it is gossiped."""
        return self._member(self.limits.demand(now=now))

    def _member(self, demand):
        return Member(
            node=self.settings["node"],
            role=Role.ENTRY,
            failure_domain=self.domain,
            address=self.settings["address"],
            port=self.settings["port"],
            incarnation=self.incarnation,
            seq=self.seq,
            leaving=self.leaving or None,
            revision=self.core.holder.revision,
            demand=demand or None,
        )

    def _direct_agents(self, now):
        """Return the agents that report to this host, with their age."""
        entries = self.core.reachable_entries()
        members = []
        for node, (member, heard_at) in list(self.direct_by_node.items()):
            age = now - heard_at
            if age > FRESH_HEARTBEATS * self.settings["heartbeat_every"]:
                del self.direct_by_node[node]
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
                members.append(self._relayed(member, age, now))
        return members

    def _relayed(self, member, age, now):
        """Return the whole state if it changed or is due, else a light record."""
        told = self.relayed_by_node.get(member.node)
        stamp = (member.incarnation, member.static_seq)
        if told is None or told[0] != stamp or now >= told[1]:
            self.relayed_by_node[member.node] = (stamp, now + WHOLE_EVERY)
            return _aged(member, age)
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
            failure_domain=self.domain,
            entries=entries,
            place=sorted([self.settings["node"], *(view.node for view in own)]).index(
                self.settings["node"]
            ),
            turn=self.seq // SUMMARY_EVERY,
        )
        if not targets:
            return
        datagram = self.core.gossip(
            self._member(self._domain_demand(now)), self._summary(now)
        )
        self.socket.send(datagram, [(view.address, view.port) for view in targets])

    def _domain_demand(self, now):
        totals = dict(self.limits.demand(now=now))
        for name, claimant in self.limits.by_claimant.items():
            if name.startswith(DOMAIN_CLAIMANT) or now >= claimant.stale_deadline:
                continue
            for organisation, demand in claimant.demand_by_organisation.items():
                totals[organisation] = totals.get(organisation, 0.0) + demand
        return totals

    def _summary(self, now):
        """Return the least loaded endpoints of each service of this domain."""
        by_service = {}
        for view in self.core.membership.by_id.values():
            if view.role != "agent" or view.failure_domain != self.domain:
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
                :SUMMARY_PER_SERVICE
            ]:
                chosen[node] = _aged(view.member, now - view.heard_at)
        return list(chosen.values())

    def _neighbours(self, sender, now):
        services = set(sender.progress or {})
        members = []
        for view in self.core.membership.by_id.values():
            if view.role != "agent" or view.member is None or not view.takes_work():
                continue
            if view.failure_domain != sender.failure_domain:
                continue
            if services & set(view.member.progress or {}):
                members.append(_aged(view.member, now - view.heard_at))
        return members


def _aged(member, age):
    """Return a member's state to be relayed, with its age."""
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

"""Directives that an agent receives from entry hosts, neighbours or the platform.

A directive names the version to load and its age, the origin to read it from and the
peers to exchange it with. Neighbours are the agents of the same failure domain. Without
an entry host, an agent makes a directive from what it reads from the platform.
"""

import asyncio
import copy
import random

from hawthornspoke.base import boottime_clock, is_failure, monotonic
from hawthornspoke.catalog import (
    UNKNOWN_TIME,
    DeclarationBounds,
    DeclaredVersions,
    DeclaredWeights,
    declaration_age,
    declaration_date_logger,
)
from hawthornspoke.peering import (
    DeclarationReport,
    declared_age,
    is_usable,
    made_us,
)
from hawthornspoke.protocol import DirectiveAsk, Frame
from hawthornspoke.spread._peers import Peer
from hawthornspoke.spread._upgrade import PositionAssigned, VersionDeclared
from hawthornspoke.swarm import seeders_of, select_seeders

#: Seconds without an entry host that reads the platform after which the agent reads it
#: itself, and seconds between two such reads.
DIRECT_READ_AFTER = 2.0
DIRECT_READ_INTERVAL = 2.0

#: Seconds that an agent waits for entry hosts if all hosts start for the first time,
#: before it asks neighbours or reads the platform. Its neighbours have no directive
#: then either, and each of 156 agents would make four calls to the platform.
FIRST_START_DELAY = 6.0

#: Maximum seconds between two attempts to get a first directive from neighbours. They
#: may be rare, since an entry host sends a directive as soon as it is connected.
MAX_BOOTSTRAP_INTERVAL = 8.0

#: Number of neighbours that a new agent asks for their directive, one after the other,
#: and the timeout in seconds for each.
BOOTSTRAP_PEERS = 3
BOOTSTRAP_TIMEOUT = 0.4

#: Fraction of the link rate that the transfer of a version achieves beside other
#: traffic.
TRANSFER_LINK_SHARE = 0.9

#: Seconds between the bounds of a declaration's time up to which this host goes by the
#: earlier one. If it made its engine refuse requests from an earlier time on than entry
#: hosts, they would be refused for this long.
MAX_DATE_UNCERTAINTY = 1.0

#: Seconds beyond the version bound (see ``Upgrade``) for which the age of a declared
#: version is still reported to entry hosts.
REPORT_BEYOND_BOUND = 2.0


class Directives:
    """Applies directives to delivery, entry links and peers.

    Parameters
    ----------
    settings : SpreadSettings
    delivery : Delivery
    entry_links : EntryLinks
    platform_reader : coroutine function
        See ``Agent``.
    log : EventLog
    earliest_arrival : callable
        Returns a lower bound of the time at which data that is read now arrived; it
        may have waited while this process was suspended.
    on_health_path : callable
        Called with the path of health checks that a directive names, or None.

    Attributes
    ----------
    declared : DeclaredVersions
    """

    __slots__ = (
        "declared",
        "_settings",
        "_delivery",
        "_exchange",
        "_upgrade",
        "_entry_links",
        "_platform_reader",
        "_log",
        "_earliest_arrival",
        "_on_health_path",
        "_directive",
        "_candidates",
    )

    def __init__(
        self,
        *,
        settings,
        delivery,
        entry_links,
        platform_reader,
        log,
        earliest_arrival,
        on_health_path,
    ):
        self.declared = DeclaredVersions(on_dated=declaration_date_logger(log))
        self._settings = settings
        self._delivery = delivery
        self._exchange = delivery.exchange
        self._upgrade = delivery.upgrade
        self._entry_links = entry_links
        self._platform_reader = platform_reader
        self._log = log
        self._earliest_arrival = earliest_arrival
        self._on_health_path = on_health_path
        self._directive = None
        self._candidates = ()

    def receive(self, link, directive):
        """Apply a directive received on a connection.

        Parameters
        ----------
        link : object
            Connection to the sender.
        directive : Directive

        Returns
        -------
        bool
            Whether the directive was usable.
        """
        if not is_usable(directive):
            self._log.change("directive_unusable", directive=str(directive)[:200])
            return False
        self._entry_links.receive(link, directive)
        self._on_health_path(directive.health_path)
        if directive.peers is not None:
            self._apply_directive(
                directive,
                made_between=self._entry_links.made_between(link),
                is_clock_exact=self._entry_links.is_clock_exact(link),
            )
        elif self._directive is not None:
            self._apply_version(
                directive,
                made_between=self._entry_links.made_between(link),
                is_clock_exact=self._entry_links.is_clock_exact(link),
            )
        return True

    def _update_all_dates(self):
        """Date declarations by the last directives of all entry hosts.

        A directive arrives before the clocks of both processes were compared, and once
        no queue is on the link they can be compared more closely.
        """
        if self._directive is None:
            return
        for link, report in self._entry_links.declaration_reports():
            self._update_dates(link, report)

    def update_dates(self, link):
        """Date declarations by an entry host's last directive.

        Parameters
        ----------
        link : object
            Connection to the entry host; others are ignored.
        """
        report = self._entry_links.declaration_report(link)
        if self._directive is not None and report is not None:
            self._update_dates(link, report)

    def set_candidates(self, addresses):
        """Set the entry hosts of the failure domain, some of which seed pieces.

        Parameters
        ----------
        addresses : list of str
        """
        self._candidates = tuple(addresses)
        if self._directive is not None:
            self._set_peers(self._directive.peers or ())

    async def bootstrap(self):
        """Ask neighbours for their directive until one is received.

        An engine registers a second after its host started, and entry hosts learn of
        this agent only then. Asking neighbours saves that second; a transfer takes
        five.
        """
        if self._settings.first_start:
            await asyncio.sleep(FIRST_START_DELAY)
        interval = DIRECT_READ_INTERVAL
        while self._directive is None:
            peers = await self._platform_reader.peers()
            if is_failure(peers):
                self._log.decision("introduction_failed", reason=peers.reason)
                peers = []
            local = [
                peer
                for peer in peers
                if peer.failure_domain == self._settings.failure_domain
                and peer.address != self._settings.engine_address
            ]
            for peer in random.sample(local, min(BOOTSTRAP_PEERS, len(local))):
                if await self._request_directive(peer, peers):
                    return
            await asyncio.sleep(interval * random.uniform(0.8, 1.2))
            interval = min(2 * interval, MAX_BOOTSTRAP_INTERVAL)

    async def poll_platform(self):
        """Read the platform while no entry host that reads it is connected.

        Runs until cancelled.
        """
        if self._settings.first_start:
            await asyncio.sleep(FIRST_START_DELAY)
        while True:
            await asyncio.sleep(DIRECT_READ_INTERVAL * random.uniform(0.8, 1.2))
            no_reader_since = self._entry_links.no_reader_since
            if (
                no_reader_since is None
                or monotonic() < no_reader_since + DIRECT_READ_AFTER
            ):
                continue
            directive = await self._platform_reader(self._directive)
            if is_failure(directive):
                self._log.change("platform_lost", reason=directive.reason)
            else:
                self._log.decision("read_alone", version=directive.weights_version)
                self._apply_directive(
                    directive, made_between=(UNKNOWN_TIME, boottime_clock())
                )

    def answer(self, link, frame):
        """Send a new agent the current directive, without peers, which it knows."""
        current = copy.copy(self._directive)
        if current is not None:
            version = self._upgrade.next_version()
            now = boottime_clock()
            newest = declared_age(
                self.declared.bounds(self._delivery.model, version), now
            )
            current.weights_version = version
            current.age_ms = newest.age_ms
            current.known_ms = newest.known_ms
            current.made_us = made_us(now)
            current.earlier_versions = [
                item for item in self.declared_ages(now) if item.version < version
            ]
            current.peers = None
        link.send(Frame(call=-frame.call, directive=current))

    def declared_ages(self, now=None):
        """Return the ages of recently declared versions, for entry hosts.

        An entry host that has just started doesn't know when a version was declared,
        and so until when requests may still start on the preceding version. Once the
        version bound has passed since the declaration, they may not in any case.

        Parameters
        ----------
        now : float or None, default=None
            Time that ages count from, in seconds of ``boottime_clock``; None for the
            current time.

        Returns
        -------
        list of DeclaredAge
        """
        if now is None:
            now = boottime_clock()
        declared_after = now - self._upgrade.version_bound - REPORT_BEYOND_BOUND
        return [
            declared_age(bounds, now)
            for bounds in self.declared.declared_versions(
                self._delivery.model, declared_after=declared_after
            )
        ]

    async def _request_directive(self, peer, peers):
        ask = DirectiveAsk(failure_domain=self._settings.failure_domain)
        asked_at = boottime_clock()
        answer = await self._exchange.ask_at(
            peer.address.rpartition(":")[0],
            Frame(directive_ask=ask),
            timeout=BOOTSTRAP_TIMEOUT,
        )
        if is_failure(answer) or answer.directive is None or self._directive:
            return self._directive is not None
        answer.directive.peers = peers
        if not is_usable(answer.directive):
            return False
        self._log.change("introduced", peer=peer.address)
        self._apply_directive(
            answer.directive, made_between=(asked_at, boottime_clock())
        )
        return True

    def _apply_directive(self, directive, *, made_between, is_clock_exact=False):
        is_first = self._directive is None
        self._directive = _without_dates(directive)
        self._delivery.model = directive.model
        self._exchange.origin_address = directive.origin_address
        size = directive.pieces * directive.piece_bytes
        self._upgrade.transfer_time = size / (
            self._settings.link_rate * TRANSFER_LINK_SHARE
        )
        self._upgrade.version_bound = directive.version_bound_ms / 1000
        self._set_peers(directive.peers or ())
        self._apply_version(
            directive, made_between=made_between, is_clock_exact=is_clock_exact
        )
        if is_first:
            self._update_all_dates()

    def _apply_version(self, directive, *, made_between, is_clock_exact=False):
        version = directive.weights_version
        previous_version = self._upgrade.next_version()
        report = DeclarationReport.from_directive(directive)
        bounds_by_version = _bounds_by_version(report, made_between)
        bounds = bounds_by_version.pop(
            version, DeclarationBounds(version=version, latest=boottime_clock())
        )
        self.declared.add(
            DeclaredWeights(model=directive.model, version=version),
            earliest=bounds.earliest,
            latest=bounds.latest,
            source="directive",
        )
        for earlier in bounds_by_version.values():
            self.declared.add_bounds(directive.model, earlier, source="directive")
        self._step_version(
            directive.model,
            version,
            estimate=self._earliest_arrival() - max(0, directive.age_ms or 0) / 1000,
            is_final=is_clock_exact and bounds.earliest != UNKNOWN_TIME,
        )
        self._step_earlier_versions(
            directive.model, bounds_by_version, is_clock_exact=is_clock_exact
        )
        if self._upgrade.next_version() != previous_version:
            self._log.change(
                "weights",
                version=version,
                age=declaration_age(
                    self.declared.bounds(directive.model, version).earliest,
                    boottime_clock(),
                ),
                before=previous_version,
            )

    def _update_dates(self, link, report):
        bounds_by_version = _bounds_by_version(
            report, self._entry_links.made_between(link)
        )
        for bounds in bounds_by_version.values():
            self.declared.add_bounds(report.model, bounds, source="directive")
        if report.model != self._delivery.model:
            return
        is_clock_exact = self._entry_links.is_clock_exact(link)
        newest = bounds_by_version.get(self._upgrade.next_version())
        if newest is not None:
            self._step_version(
                report.model,
                newest.version,
                estimate=boottime_clock(),
                is_final=is_clock_exact and newest.earliest != UNKNOWN_TIME,
            )
        self._step_earlier_versions(
            report.model, bounds_by_version, is_clock_exact=is_clock_exact
        )

    def _step_earlier_versions(self, model, bounds_by_version, *, is_clock_exact):
        """Date the versions of a message that are older than the newest one.

        The weights before a version that this host has missed expire by its date. The
        newest version has to be planned first, or the others would be fetched.
        """
        newest_version = self._upgrade.next_version()
        for version in sorted(bounds_by_version):
            is_proven = self.declared.bounds(model, version).earliest != UNKNOWN_TIME
            if newest_version is None or version >= newest_version or not is_proven:
                continue
            earliest = bounds_by_version[version].earliest
            self._step_version(
                model,
                version,
                estimate=boottime_clock(),
                is_final=is_clock_exact and earliest != UNKNOWN_TIME,
            )

    def _step_version(self, model, version, *, estimate, is_final):
        """Plan the loading of a version, by an estimate as long as it isn't dated.

        If the bounds of its date are far apart because the clock of the only entry host
        that dates it isn't known closely yet, it isn't dated yet. If they are so after
        an outage of the platform, it may have been declared up to the end of it, and
        entry hosts may still send requests that the engine would refuse by the earlier
        bound. A version that is dated stays so, and its date follows the bounds.

        Parameters
        ----------
        model : str
        version : int
        estimate : float
            Seconds of ``boottime_clock``.
        is_final : bool
            Whether a message dates the version whose time is known closely.
        """
        bounds = self.declared.bounds(model, version)
        is_close = bounds.latest - bounds.earliest <= MAX_DATE_UNCERTAINTY
        is_dated = bounds.earliest != UNKNOWN_TIME and (
            is_close or is_final or self._upgrade.is_dated(version)
        )
        at = bounds.earliest if is_close else bounds.latest
        message = VersionDeclared(
            version=version, at=at if is_dated else estimate, is_dated=is_dated
        )
        self._delivery.step(message)

    def _set_peers(self, peers):
        peer_by_name = {
            peer.address: Peer(
                failure_domain=peer.failure_domain,
                address=peer.address.rpartition(":")[0],
                port=self._settings.port,
            )
            for peer in peers
            if not peer.leaving or peer.address == self._settings.engine_address
        }
        # This host's settings override an entry of the list at its address. Another
        # writer of the list may have entered a different failure domain, and this host
        # would then be missing from the neighbours of its actual domain.
        own = self._settings.engine_address
        peer_by_name[own] = Peer(
            failure_domain=self._settings.failure_domain,
            address=self._settings.ip,
            port=self._settings.port,
        )
        neighbours = sorted(
            name
            for name, peer in peer_by_name.items()
            if peer.failure_domain == self._settings.failure_domain
        )
        position = neighbours.index(own)
        self._delivery.step(PositionAssigned(position=position))
        seeders = select_seeders(self._candidates, receivers=len(neighbours))
        for seeder in seeders_of(position, seeders):
            peer_by_name[seeder] = Peer(
                failure_domain=self._settings.failure_domain,
                address=seeder,
                port=self._settings.port,
                is_seeder=True,
            )
        self._exchange.set_peers(peer_by_name)


def _bounds_by_version(report, made_between):
    earliest_made, latest_made = made_between
    bounds = report.bounds(earliest_made=earliest_made, latest_made=latest_made)
    return {item.version: item for item in bounds}


def _without_dates(directive):
    """Return a copy without ages, which count from the time of the message."""
    undated = copy.copy(directive)
    undated.age_ms = undated.known_ms = undated.made_us = None
    undated.earlier_versions = None
    return undated

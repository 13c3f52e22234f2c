"""This host's share of the retry budgets of all entry hosts."""

from hawthornspoke.relay._retry_reserve import RESERVE_SHARE, ReserveRequests
from hawthornspoke.retries import EVERY_SERVICE, RetryBudget, RetryGrant

#: Seconds from the start of this host until it uses its part of the allowance: hosts
#: that were there before have learned by then to share with it. A host that was there
#: itself needs none; one that can't know needs a window more.
JOINING_TIME = 3.0


class RetryBudgets:
    """This host's retry budget for each service.

    Parameters
    ----------
    settings : RelaySettings
        Replaced when the settings are reloaded.
    entry_hosts : EntryHostCount
    log : EventLog
    started_at : float
        When this host started, on the boot-time clock.
    records : RetryRecords

    Attributes
    ----------
    reserve_requests : ReserveRequests
        Services for which this host asks for retries out of the reserve.
    """

    __slots__ = (
        "settings",
        "reserve_requests",
        "_entry_hosts",
        "_log",
        "_records",
        "_started_at",
        "_allowance_from",
        "_history",
        "_start_grant",
        "_budget_by_service",
    )

    def __init__(self, *, settings, entry_hosts, log, started_at, records):
        self.settings = settings
        self._entry_hosts = entry_hosts
        self._log = log
        self._records = records
        self._started_at = started_at
        self.reserve_requests = ReserveRequests()
        self._history = None
        # Of each service.
        self._start_grant = RetryGrant(left=0, deadline=started_at)
        self._allowance_from = self.usable_at
        self._budget_by_service = {}

    def for_service(self, service, *, now):
        """Return the RetryBudget of a service; ``now`` is on the boot-time clock."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(
                ratio=self.settings.retry_ratio,
                allowance=self._allowance_per_host(now),
                window=self.settings.retry_window,
                allowance_from=self._allowance_from,
            )
            self._add_past(service, budget)
            self._add_start_grant(budget)
            self._log_share(service, now)
        return budget

    @property
    def reserve_size(self):
        """Retries of each service that all hosts leave to the reserve."""
        return int(RESERVE_SHARE * self.settings.retry_allowance)

    @property
    def window(self):
        """Seconds for which retries count."""
        return self.settings.retry_window

    @property
    def longest_use(self):
        """Seconds for which any host may use what it got out of the reserve."""
        return self.window + JOINING_TIME

    @property
    def usable_at(self):
        """Time from which this host's share is usable whatever it has used before."""
        return self._started_at + self.longest_use

    def add_grant(self, service, count, *, deadline, now):
        """Allow retries out of the reserve.

        Parameters
        ----------
        service : str
            ``EVERY_SERVICE`` for as many of each one.
        count : int
        deadline, now : float
            On the boot-time clock.
        """
        grant = RetryGrant(left=count, deadline=deadline)
        if service != EVERY_SERVICE:
            self.for_service(service, now=now).add_grant(grant)
            return
        self._start_grant = grant
        for budget in self._budget_by_service.values():
            self._add_start_grant(budget)

    def count_request(self, service):
        """Count a request of a service for the agents' records."""
        self._records.count_request(service)

    def record_denial(self, service, *, now):
        """Record that the budget of a service has denied a retry."""
        self._records.record_denial()
        if self.reserve_size:
            self.reserve_requests.add(service, now=now)

    def record_charge(self, service, *, now):
        """Report a retry that was charged, before it is sent."""
        share = self.for_service(service, now=now).allowance
        self._records.record_charge(service, share=share)

    def adopt_history(self, *, now):
        """Use the allowance as soon as it is known what was used of it before.

        Parameters
        ----------
        now : float
            On the boot-time clock.
        """
        if now < self.usable_at:
            # Later, those that are reported with retries are enough.
            self._records.report_requests()
        if self._history is not None or now >= self._allowance_from:
            return
        history = self._records.history(window=self.settings.retry_window)
        if history is None:
            return
        self._history = history
        self._allowance_from = (
            now if history.is_known else self._started_at + JOINING_TIME
        )
        if history.is_known:
            self._entry_hosts.settle(history.entry_hosts, now)
        for service, budget in self._budget_by_service.items():
            budget.allowance_from = self._allowance_from
            self._add_past(service, budget)
        self.update_shares(now=now)
        self._log.change(
            "retry_history",
            covered=round(history.covered, 1),
            is_known=history.is_known,
            hosts=history.entry_hosts,
            used={
                service: sum(counts)
                for service, counts in history.counts_by_service.items()
            },
        )

    def describe(self, service, *, now):
        """Return the fields that log lines about a service's retries have in common.

        Parameters
        ----------
        service : str
        now : float
            On the boot-time clock.

        Returns
        -------
        dict
            ``service``, ``left`` (retries that this host may send now), ``share`` (its
            part of the allowance), ``usable_in`` (seconds until it may use that)
            and ``hosts`` (number of entry hosts that share the allowance, None if it
            isn't known).
        """
        budget = self.for_service(service, now=now)
        return {
            "service": service,
            "left": round(budget.left(now=now), 2),
            "share": round(budget.allowance, 2),
            "usable_in": round(max(0.0, budget.allowance_from - now), 2),
            "hosts": self._entry_hosts.settled(now),
        }

    def update_shares(self, *, now):
        """Adapt all budgets to the settings and to the number of entry hosts.

        Parameters
        ----------
        now : float
            On the boot-time clock.
        """
        allowance = self._allowance_per_host(now)
        for service, budget in self._budget_by_service.items():
            budget.ratio = self.settings.retry_ratio
            if budget.allowance != allowance:
                budget.allowance = allowance
                self._log_share(service, now)

    def dump(self, *, now):
        """Return the state as plain data; ``now`` is on the boot-time clock."""
        return {
            name: budget.dump(now=now)
            for name, budget in self._budget_by_service.items()
        }

    def _add_past(self, service, budget):
        if self._history is not None:
            budget.add_past(
                counts=self._history.counts_by_service.get(service, ()),
                requests=self._history.requests_by_service.get(service, ()),
                before=self._history.received_at,
            )

    def _add_start_grant(self, budget):
        budget.add_grant(
            RetryGrant(left=self._start_grant.left, deadline=self._start_grant.deadline)
        )

    def _log_share(self, service, now):
        self._log.change("retry_share", **self.describe(service, now=now))

    def _allowance_per_host(self, now):
        # Without a number, any part could be too much.
        hosts = self._entry_hosts.settled(now)
        shared = self.settings.retry_allowance - self.reserve_size
        return shared / hosts if hosts else 0.0

"""Rate limits over several entry hosts, with simulated gossip and time."""

import pytest

from hawthornspoke.limits import (
    AdmissionRequest,
    Admitted,
    ClaimantsUpdated,
    DemandReported,
    RateShares,
    SetLimits,
)

LIMIT = 100.0
STEP = 0.01
GOSSIP_INTERVAL = 0.5
GOSSIP_DELAY = 0.2


class Hosts:
    """Entry hosts that gossip their demand with a delay."""

    def __init__(self, count):
        self.names = [f"entry-{number}" for number in range(count)]
        self.shares_by_name = {name: self._new_shares(0.0) for name in self.names}
        self.rate_by_name = dict.fromkeys(self.names, 0.0)
        self.pending_by_name = dict.fromkeys(self.names, 0.0)
        self.partitioned = set()
        self.messages = []
        self.now = 0.0

    def _new_shares(self, now):
        shares = RateShares(stale_after=3.0)
        limits = SetLimits(
            rate_by_organisation={"a": LIMIT}, burst_by_organisation={"a": LIMIT / 5}
        )
        shares.step(limits, now=now)
        return shares

    def restart(self, name):
        self.shares_by_name[name] = self._new_shares(self.now)
        self._send_peers(name)

    def start(self):
        for name in self.names:
            self._send_peers(name)

    def _send_peers(self, name):
        peers = {other: 1 for other in self.names if other != name}
        self.shares_by_name[name].step(
            ClaimantsUpdated(hosts_by_claimant=peers), now=self.now
        )

    def run(self, seconds):
        """Return the requests admitted per second over all hosts."""
        admitted = 0
        steps = round(seconds / STEP)
        for _ in range(steps):
            self.now += STEP
            self._deliver()
            if round(self.now / STEP) % round(GOSSIP_INTERVAL / STEP) == 0:
                self._gossip()
            for name in self.names:
                admitted += self._send_requests(name)
        return admitted / seconds

    def _send_requests(self, name):
        self.pending_by_name[name] += self.rate_by_name[name] * STEP
        admitted = 0
        while self.pending_by_name[name] >= 1.0:
            self.pending_by_name[name] -= 1.0
            (outcome,) = self.shares_by_name[name].step(
                AdmissionRequest(organisation="a"), now=self.now
            )
            admitted += isinstance(outcome, Admitted)
        return admitted

    def _gossip(self):
        for name in self.names:
            if name in self.partitioned:
                continue
            demand = self.shares_by_name[name].demand(now=self.now)
            self.messages.append((self.now + GOSSIP_DELAY, name, demand))

    def _deliver(self):
        due = [item for item in self.messages if item[0] <= self.now]
        self.messages = [item for item in self.messages if item[0] > self.now]
        for _, sender, demand in due:
            message = DemandReported(claimant=sender, demand_by_organisation=demand)
            for name in self.names:
                if name != sender and name not in self.partitioned:
                    self.shares_by_name[name].step(message, now=self.now)


def start_hosts(count):
    hosts = Hosts(count)
    hosts.start()
    return hosts


@pytest.mark.parametrize("count", [3, 6, 9])
def test_even_demand_over_the_limit(count):
    hosts = start_hosts(count)
    for name in hosts.names:
        hosts.rate_by_name[name] = 2 * LIMIT / count
    hosts.run(3)
    assert 0.95 * LIMIT <= hosts.run(10) <= 1.05 * LIMIT


@pytest.mark.parametrize("count", [3, 6, 9])
def test_demand_at_a_single_host_gets_most_of_the_limit(count):
    """An organisation got a third of its limit behind an uneven load balancer."""
    hosts = start_hosts(count)
    hosts.rate_by_name["entry-0"] = 2 * LIMIT
    hosts.run(3)
    assert 0.75 * LIMIT <= hosts.run(10) <= 1.05 * LIMIT


@pytest.mark.parametrize("count", [3, 6, 9])
def test_demand_that_moves_between_hosts(count):
    """Each move of the demand admitted another whole limit."""
    hosts = start_hosts(count)
    total = 0.0
    for round_number in range(10):
        for number, name in enumerate(hosts.names):
            hosts.rate_by_name[name] = (
                2 * LIMIT if number == round_number % count else 0.0
            )
        total += hosts.run(4)
    assert 0.6 * LIMIT <= total / 10 <= 1.25 * LIMIT


def test_partitioned_host_and_restarts():
    """A partition doubled a limit, and each restart admitted a burst."""
    hosts = start_hosts(4)
    for name in hosts.names:
        hosts.rate_by_name[name] = LIMIT
    hosts.run(4)
    hosts.partitioned = {"entry-0"}
    hosts.run(4)
    assert 0.75 * LIMIT <= hosts.run(10) <= 1.1 * LIMIT
    hosts.partitioned = set()
    total = 0.0
    for _ in range(5):
        hosts.restart("entry-1")
        total += hosts.run(4)
    assert 0.75 * LIMIT <= total / 5 <= 1.25 * LIMIT


def test_demand_below_the_limit_is_never_refused():
    hosts = start_hosts(3)
    for name in hosts.names:
        hosts.rate_by_name[name] = LIMIT / 4
    hosts.run(2)
    before = sum(shares.limited for shares in hosts.shares_by_name.values())
    hosts.run(20)
    assert sum(shares.limited for shares in hosts.shares_by_name.values()) == before

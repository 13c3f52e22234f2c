"""Rate limits that entry hosts share through agents."""

import pytest

from hawthornspoke.metrics import Metrics
from hawthornspoke.peering import PeerConnection
from hawthornspoke.permits import LIMIT_LIFETIME
from hawthornspoke.placing.tests.test_rate_limits import (
    make_fleet,
    observe,
    plain_entry,
)
from hawthornspoke.protocol import Frame, decode, encode
from hawthornspoke.relay.tests.relay_harness import make_rate_limits
from hawthornspoke.spread._rate_limits import RateLimitLinks

ENDPOINT = plain_entry("e0")
OTHER_AGENT = "10.0.0.9:80"

#: Seconds between two responses.
RESPONSE_INTERVAL = 0.1


class Clock:
    """Clock of all hosts and agents."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture(autouse=True)
def clock(monkeypatch):
    clock = Clock()
    for module in ("relay", "spread"):
        monkeypatch.setattr(f"hawthornspoke.{module}._rate_limits.monotonic", clock)
    return clock


class FakeAgent:
    """An agent that divides the limits of endpoints among connected hosts."""

    def __init__(self, address):
        self.address = address
        self.links = RateLimitLinks(metrics=Metrics())


class HostLink:
    """The end of a connection at an entry host."""

    def __init__(self, host, agent):
        self.agent = agent
        self.remote = AgentLink(host, agent)

    def send(self, frame):
        self.agent.links.receive(self.remote, decode(Frame, encode(frame)))
        return True


class AgentLink:
    """The end of a connection at an agent; frames arrive late, but in order."""

    def __init__(self, host, agent):
        self.host = host
        self.agent = agent
        self.unread = []

    def send(self, frame):
        self.send_encoded(PeerConnection.encode(frame))

    def send_encoded(self, data):
        self.unread.append(data)

    def deliver(self):
        while self.unread:
            frame = decode(Frame, self.unread.pop(0)[4:])
            self.host.limits.receive(self.agent.address, frame)


class FakeHost:
    """An entry host whose responses come from ``ENDPOINT``."""

    def __init__(self, *agents, clock):
        self.clock = clock
        self.fleet = make_fleet(ENDPOINT)
        self.limits = make_rate_limits(self.fleet)
        self.links = []
        for agent in agents:
            self.connect(agent)

    def connect(self, agent):
        link = HostLink(self, agent)
        self.links.append(link)
        agent.links.add(link.remote)
        self.limits.add_agent(agent.address, link)

    def disconnect(self, agent):
        for link in [item for item in self.links if item.agent is agent]:
            self.links.remove(link)
            agent.links.drop(link.remote)
            self.limits.remove_agent(agent.address)

    def read_response(self, rate):
        """Read a success that names a limit, or none."""
        self.clock.now += RESPONSE_INTERVAL
        now = self.clock.now
        for changed in observe(self.fleet, "e0", rate, now=now, is_success=True):
            self.limits.share(changed)

    def deliver(self):
        for link in self.links:
            link.remote.deliver()

    @property
    def rate(self):
        return self.fleet.endpoint_by_id["e0"].rate_limit.rate


def rates_after_delivery(hosts):
    """Return the limits that hosts know once they have received all frames."""
    for host in hosts:
        host.deliver()
    return [host.rate for host in hosts]


def make_hosts_with_a_limit(clock, *, count):
    """Return hosts that know a limit, the endpoint's agent, and another one.

    The endpoint's agent has just restarted, so that it knows nothing and the hosts
    aren't connected to it.
    """
    other = FakeAgent(OTHER_AGENT)
    hosts = [FakeHost(other, clock=clock) for _ in range(count)]
    hosts[0].read_response(2.0)
    assert rates_after_delivery(hosts) == [2.0] * count
    return hosts, FakeAgent(ENDPOINT.address), other


def test_end_of_a_limit_reaches_hosts_that_are_connected_to_its_agent_again(clock):
    """Guards against a limit that outlives its end at a host.

    An agent restarts. One host reads the end of the limit before it is connected
    again, and reports it to another agent, which doesn't divide the limit for the
    hosts that are.
    """
    hosts, agent, _ = make_hosts_with_a_limit(clock, count=3)
    hosts[1].connect(agent)
    hosts[0].read_response(None)
    rates_after_delivery(hosts)
    hosts[0].connect(agent)
    hosts[2].connect(agent)
    assert rates_after_delivery(hosts) == [None] * 3


def test_end_of_a_limit_is_reported_once_an_agent_is_connected(clock):
    """Guards against an end that is lost as no agent was connected."""
    hosts, agent, other = make_hosts_with_a_limit(clock, count=2)
    hosts[0].disconnect(other)
    hosts[0].read_response(None)
    hosts[1].connect(agent)
    hosts[0].connect(agent)
    assert rates_after_delivery(hosts) == [None] * 2


def test_host_that_read_the_end_does_not_learn_the_limit_from_its_agent_again(clock):
    """Guards against a limit that an agent knows still when its host reconnects."""
    hosts, agent, _ = make_hosts_with_a_limit(clock, count=2)
    for host in hosts:
        host.connect(agent)
    hosts[1].read_response(3.0)
    rates_after_delivery(hosts)
    hosts[0].disconnect(agent)
    hosts[0].read_response(None)
    hosts[0].connect(agent)
    assert rates_after_delivery(hosts) == [None] * 2


def test_repeated_end_leaves_a_newer_limit(clock):
    """Guards against requests over a limit that was named again meanwhile."""
    hosts, agent, _ = make_hosts_with_a_limit(clock, count=3)
    hosts[1].connect(agent)
    hosts[0].read_response(None)
    hosts[1].read_response(4.0)
    hosts[0].connect(agent)
    hosts[2].connect(agent)
    assert rates_after_delivery(hosts) == [4.0] * 3


def test_end_that_a_newer_limit_followed_is_not_repeated(clock):
    """Guards against an agent that knows nothing and would pass an old end on."""
    hosts, agent, _ = make_hosts_with_a_limit(clock, count=3)
    hosts[0].read_response(None)
    rates_after_delivery(hosts)
    hosts[1].read_response(4.0)
    rates_after_delivery(hosts)
    for host in hosts:
        host.connect(agent)
    assert rates_after_delivery(hosts) == [4.0] * 3


def test_old_end_is_not_repeated(clock):
    """Guards against an end that an allocator can no longer compare with a limit."""
    hosts, agent, _ = make_hosts_with_a_limit(clock, count=2)
    hosts[0].read_response(None)
    clock.now += LIMIT_LIFETIME + 1.0
    hosts[1].connect(agent)
    hosts[0].connect(agent)
    assert hosts[0].limits.dump(now=clock.now)["ended_limits"] == 0
    assert agent.links.allocator.rate_limits(now=clock.now) == []

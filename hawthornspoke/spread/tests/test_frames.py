"""An agent that receives arbitrary frames and conflicting entries of endpoint lists."""

import asyncio

from hypothesis import given, settings

from hawthornspoke.base import Failure
from hawthornspoke.protocol import Directive, Frame, PeerEndpoint
from hawthornspoke.protocol.tests.structs import structs
from hawthornspoke.spread import Agent, SpreadSettings
from hawthornspoke.spread._piece_store import Weights

OWN = "127.0.0.2:1"
DOWN = Failure(code="down")


class Origin:
    """Fails all requests."""

    async def manifest(self, address, model, version):
        return DOWN

    async def piece(self, address, model, version, index):
        return DOWN


class Link:
    """Accepts frames."""

    address = "127.0.0.9"
    is_open = True

    def send(self, frame):
        return True

    def send_encoded(self, data):
        return True

    def write_part(self, data, *, is_last):
        pass

    def unsent(self):
        return 0

    @staticmethod
    def encode(frame):
        return b""


def directive(*peers):
    """Return an entry host's directive."""
    return Directive(
        model="m",
        weights_version=2,
        age_ms=0,
        peers=list(peers),
        pieces=4,
        piece_bytes=10,
        layers=4,
        version_bound_ms=8000,
        failure_domain="a",
        load_time=0.1,
    )


async def make_agent():
    """Return an agent that fetches a version of four pieces."""
    agent = Agent(
        settings=SpreadSettings(
            node="n",
            failure_domain="a",
            region_by_failure_domain={"a": "r"},
            ip="127.0.0.2",
            engine_address=OWN,
            link_rate=1_000_000,
            port=7750,
            operator_port=7751,
        ),
        engine=None,
        origin=Origin(),
        platform_reader=None,
    )
    agent._on_frame(Link(), Frame(directive=directive()))
    agent.exchange.start_transfer(
        Weights(model="m", version=2, digests=("00" * 32,) * 4), priority=0
    )
    return agent


def test_no_message_raises():
    with asyncio.Runner() as runner:
        agent = runner.run(make_agent())

        @settings(max_examples=200, deadline=None)
        @given(structs(Frame))
        def check(frame):
            if frame.call is None:
                # PeerConnection discards requests without a call number.
                frame = Frame(
                    announce=frame.announce,
                    directive=frame.directive,
                    engine_state=frame.engine_state,
                    entry_hosts=frame.entry_hosts,
                )
            runner.run(feed(agent, frame))

        check()
        runner.run(close(agent))


async def feed(agent, frame):
    """Pass a frame to an agent."""
    agent._on_frame(Link(), frame)


async def close(agent):
    """Stop the tasks of an agent."""
    agent.delivery.close()
    agent.exchange.close()


def test_entry_of_another_writer_at_the_own_address_is_ignored():
    """Guards against an agent that exits repeatedly or loses all its entry hosts.

    Another writer lists an endpoint at the address of the agent's engine, in another
    failure domain. The agent is then missing from the hosts of its own failure domain
    unless its settings override the list.
    """

    async def scenario():
        agent = await make_agent()
        conflicting = PeerEndpoint(address=OWN, failure_domain="elsewhere")
        other = PeerEndpoint(address="127.0.0.3:1", failure_domain="a")
        agent._on_frame(Link(), Frame(directive=directive(conflicting, other)))
        assert set(agent.exchange.region_nodes()) == {OWN, "127.0.0.3:1"}
        await close(agent)

    asyncio.run(scenario())

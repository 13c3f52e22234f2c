"""Peers that are gone from the list while one of them is asked."""

import asyncio

from hawthornspoke.base import rendezvous_order
from hawthornspoke.spread._peers import Peer
from hawthornspoke.spread._stock import weights_name
from hawthornspoke.spread.tests.test_agents import PIECES, PORT, Hosts


def test_manifest_is_read_although_a_peer_leaves_meanwhile():
    """An engine never got a version that all others had.

    Symptom: an agent logs that its task for a version ended with a KeyError; its
    engine keeps the old weights, and answers nothing from their bound on.
    Events: a version is declared; the agent asks a host of its region for the list of
    digests, which takes up to 0.6 s; meanwhile another host of the region leaves; the
    first one has no list, and the one that left is asked next.
    Cause: whom to ask was looked up before the wait, and where they are after it. The
    version counts as being got, so nothing begins it again.
    """

    async def scenario():
        async with Hosts(1) as hosts:
            (agent,) = hosts.agents
            own = f"{hosts.ips[0]}:1"
            peers = {
                name: Peer(
                    failure_domain="a", address=name.partition(":")[0], port=PORT
                )
                for name in (own, "127.0.0.8:1", "127.0.0.9:1")
            }
            agent.exchange.origin_address = "origin:1"
            agent.exchange.set_peers(peers)
            version = _version_that_others_read_first(own, peers)
            asking = asyncio.create_task(agent.delivery.manifests.get("m", version))
            # The first of the two is asked: a connection is tried.
            await asyncio.sleep(0)
            agent.exchange.set_peers({own: peers[own]})
            digests = await asking
            assert len(digests) == PIECES

    asyncio.run(scenario())


def _version_that_others_read_first(own, peers):
    for version in range(2, 1000):
        name = weights_name("m", version)
        if rendezvous_order(key=name, nodes=list(peers))[-1] == own:
            return version
    raise AssertionError("no version of which this host is the last reader")

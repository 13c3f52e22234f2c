"""Peers that are removed from the list while another one is being asked."""

import asyncio

from hawthornspoke.base import rendezvous_order
from hawthornspoke.spread._peers import Peer
from hawthornspoke.spread._piece_store import weights_name
from hawthornspoke.spread.tests.test_agents import PIECES, PORT, Hosts


def test_manifest_is_read_although_a_peer_leaves_meanwhile():
    """Guards against an engine that never gets a version that all others have.

    An agent chooses the hosts of its region that it requests a manifest from, and one
    of them leaves before its address is looked up. Then a KeyError ended the task that
    fetches the version. Nothing started the task again, and the engine served nothing
    once its old weights had expired.
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
            # The two hosts have been chosen, but their addresses not yet looked up.
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

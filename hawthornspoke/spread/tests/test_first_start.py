"""Agents of a fleet that starts for the first time."""

import asyncio

from hawthornspoke.spread import SpreadSettings
from hawthornspoke.spread._directives import FIRST_START_DELAY
from hawthornspoke.spread.tests.test_agents import FakePlatform, Hosts


def record_reads(hosts, monkeypatch):
    """Return a list that grows with each call to the platform."""
    reads = []
    real_call, real_peers = FakePlatform.__call__, FakePlatform.peers

    async def call(self, known):
        reads.append("all")
        return await real_call(self, known)

    async def peers(self):
        reads.append("peers")
        return await real_peers(self)

    monkeypatch.setattr(FakePlatform, "__call__", call)
    monkeypatch.setattr(FakePlatform, "peers", peers)
    return reads


def test_agents_of_a_first_start_do_not_read_the_platform(monkeypatch):
    """The first start of 156 agents cost 600 calls to the platform.

    Sequence: each reads the list to ask its neighbours what to load, who know nothing,
    and 2 s later reads it all itself, just before entry hosts connect. Cause: an agent
    that is new among others, and one among as many new ones, did the same.
    """

    async def scenario(first_start, seconds):
        hosts = Hosts(2)
        reads = record_reads(hosts, monkeypatch)
        monkeypatch.setattr(
            SpreadSettings.__init__,
            "__kwdefaults__",
            {**SpreadSettings.__init__.__kwdefaults__, "first_start": first_start},
        )
        async with hosts:
            await asyncio.sleep(seconds)
            return len(reads)

    assert asyncio.run(scenario(True, FIRST_START_DELAY / 3)) == 0
    assert asyncio.run(scenario(False, 0.5)) == 2


def test_agents_of_a_first_start_apply_a_directive_at_once(monkeypatch):
    monkeypatch.setattr(
        SpreadSettings.__init__,
        "__kwdefaults__",
        {**SpreadSettings.__init__.__kwdefaults__, "first_start": True},
    )

    async def scenario():
        async with Hosts(2) as hosts:
            await hosts.name(1)
            await hosts.wait_until_loaded(1, seconds=4.0)

    asyncio.run(scenario())

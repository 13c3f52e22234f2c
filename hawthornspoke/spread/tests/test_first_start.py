"""Agents of a fleet in which all hosts start for the first time."""

import asyncio

from hawthornspoke.spread import SpreadSettings
from hawthornspoke.spread._directives import FIRST_START_DELAY
from hawthornspoke.spread.tests.test_agents import FakePlatform, Hosts


def record_reads(hosts, monkeypatch):
    """Return a list that grows with each read of the platform."""
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
    """Guards against 600 platform calls when 156 agents start for the first time.

    Each agent read the list of endpoints to ask its neighbours for a directive, which
    none of them had. 2 s later it read everything from the platform itself, just before
    entry hosts connected. Agents of a first start must wait instead.
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
            await hosts.declare(1)
            await hosts.wait_until_loaded(1, seconds=4.0)

    asyncio.run(scenario())

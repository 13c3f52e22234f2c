"""Soak test of a crashing prompt part while all processes end at once."""

import asyncio

from hawthornspoke.base import monotonic
from tests.soak.parts import PART_SIZE, PartSoak
from tests.soak.simulation import LLM
from tests.soak.soak import run_soak

#: Seconds between two ends of all hosts and agents.
RESTART_INTERVAL = (5.0, 9.0)

#: How the store, or the link to it, fails as they start, and for how many seconds.
STORE_FAULTS = (None, "busy", "reset", "silent")
STORE_LINK_FAULTS = (None, "slow", "silent", "refuse")
STORE_FAULT_SECONDS = (0.5, 3.0)

#: Seconds between two silent links of engines, which hide how these end, and seconds
#: for which they are silent before all connections end.
SILENCE_INTERVAL = 2.0
SILENCE_SECONDS = (0.5, 2.0)


class JointEndSoak(PartSoak):
    """Requests with a crashing part while hosts, agents and engines end at once.

    The store is away or slow as they start. Some crashes show neither as a refused
    connection nor, for some time, in the list of endpoints.
    """

    async def _inject_faults(self):
        hiding = asyncio.create_task(self._silence_links())
        await super()._inject_faults()
        hiding.cancel()
        for proxy in [*self.proxies, self.store_proxy]:
            proxy.fault = None
        self.store.fault = None

    async def _restart(self, end_at):
        while monotonic() < end_at:
            await asyncio.sleep(self.detail_random.uniform(*RESTART_INTERVAL))
            engines = [engine for engine in self.engines if engine.service == LLM]
            count = self.detail_random.choice((0, 1, len(engines)))
            self.faults.append(f"joint_end:{count}")
            await asyncio.gather(
                self._disturb_store(),
                self._restart_once([*self.entries, *self.agents]),
                *(
                    engine.end()
                    for engine in self.detail_random.sample(engines, k=count)
                ),
            )

    async def _disturb_store(self):
        self.store.fault = self.detail_random.choice(STORE_FAULTS)
        self.store_proxy.fault = self.detail_random.choice(STORE_LINK_FAULTS)
        self.faults.append(f"store:{self.store.fault},{self.store_proxy.fault}")
        await asyncio.sleep(self.detail_random.uniform(*STORE_FAULT_SECONDS))
        self.store.fault = self.store_proxy.fault = None

    async def _silence_links(self):
        while True:
            await asyncio.sleep(self.detail_random.expovariate(1 / SILENCE_INTERVAL))
            proxy = self.detail_random.choice(self.proxies)
            with self._recorded(proxy):
                proxy.fault = "silent"
                await asyncio.sleep(self.detail_random.uniform(*SILENCE_SECONDS))
                proxy.fault = None
                self._end_connections(proxy)


def run_joint_ends(seed, seconds):
    """Run one seed; return the violations, the injected faults and the log folder."""
    return run_soak(seed, seconds, PART_SIZE, soak_class=JointEndSoak)

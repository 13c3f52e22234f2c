"""An entry host dates a declaration no later than it was made."""

import asyncio
import math

from hawthornspoke.base import boottime_clock, monotonic
from hawthornspoke.base.tests.addresses import random_port
from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.peering import listen
from hawthornspoke.placing import Fleet, WeightsDeclared
from hawthornspoke.protocol import DeclaredAge, EngineState, Frame
from hawthornspoke.relay._agents import AgentLinks
from hawthornspoke.relay.tests.relay_harness import (
    RecordingLog,
    make_rate_limits,
    make_suspects,
)

PORT = random_port(25000, 27000)
BOUND = 8.0


def test_slow_link_to_an_agent_does_not_postpone_the_bound_for_a_restarted_host():
    """Guards against a date that is late by the time that an agent's report takes."""

    async def scenario():
        declared_at = boottime_clock() - 2.0

        def report_slowly(link, frame):
            if frame.entry_domain is None:
                return
            age = DeclaredAge(
                version=2, age_ms=math.ceil(1000 * (boottime_clock() - declared_at))
            )
            state = EngineState(weights_version=1, model="m", declared=[age])
            asyncio.get_running_loop().call_later(
                0.5, link.send, Frame(engine_state=state)
            )

        server = await listen(
            "127.0.0.1", PORT, on_frame=report_slowly, on_closed=lambda link: None
        )
        fleet = Fleet(failure_domain="a", version_bound=BOUND)
        message = WeightsDeclared(
            declared=DeclaredWeights(model="m", version=2), at=float("-inf")
        )
        fleet.step(message, now=monotonic())
        agent_links = AgentLinks(
            port=PORT,
            failure_domain="a",
            fleet=fleet,
            log=RecordingLog(),
            directive_for=lambda service: None,
            on_entry_hosts=lambda agent, addresses: None,
            suspects=make_suspects(fleet),
            rate_limits=make_rate_limits(fleet),
        )
        agent_links.set_endpoints({"127.0.0.1:80": "s"})
        await asyncio.sleep(0.8)
        expires_at = fleet.declared.expires_at("m", 1, bound=BOUND)
        agent_links.close()
        server.close()
        assert declared_at + BOUND - 0.2 < expires_at <= declared_at + BOUND

    asyncio.run(scenario())

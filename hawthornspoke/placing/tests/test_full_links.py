"""Full links beside a bound of old weights, or beside a caller's patience."""

import pytest

from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.placing import Decline, Place, WeightsDeclared
from hawthornspoke.placing.tests.test_fleet import ask, entry, fleet, report

BOUND_AT = 18.0

#: What an agent may tell while pieces fill the link of its host: below the limit
#: from which its engine is left alone, and above it.
SOME, MUCH = 0.39, 1.0


def declare(machine):
    """Declare a version whose older ones are too old at ``BOUND_AT``."""
    declared = DeclaredWeights(model="m", version=2)
    machine.step(WeightsDeclared(declared=declared, at=10.0), now=10.0)


@pytest.mark.parametrize("domain", ["a", "b"])
@pytest.mark.parametrize("link_delay", [SOME, MUCH])
def test_request_is_withdrawn_in_time_for_the_link_of_its_engine(link_delay, domain):
    """A request began on old weights although it had been taken back.

    Symptom: an engine begins a request after the bound of its weights; the entry
    host has logged it as withdrawn 0.4 s before that.
    Events: all engines get the pieces of the next version, so that all of their links
    are full and none of them can be left alone for it; a request waits at one; its
    withdrawal is a closed connection, and that waits on the link as long as
    everything else; the engine begins the request before it hears of it.
    Cause: the time kept for the withdrawal is one figure for all links, while the
    agent tells what a message waits on this one.
    """
    machine = fleet(entry("one", domain), entry("two", domain))
    declare(machine)
    for name in ("one", "two"):
        report(machine, name, now=12.0, link_delay=link_delay)
    place = ask(machine, now=12.1, on_time_left=4.0)
    assert isinstance(place, Place)
    # A busy process notices the time 0.1 s late.
    assert place.begin_deadline + 0.1 + link_delay <= BOUND_AT


def test_request_that_can_only_come_late_is_refused_at_once():
    """Requests reached engines after their callers had left.

    Symptom: engines get requests more than half a second after their callers have
    closed; first events take 1.5 to 1.8 s where 0.2 s are expected.
    Events: pieces and configurations fill the links of all engines, as their agents
    tell; the callers of a stream leave after 2.4 s at the latest; requests are sent
    all the same, on connections that are open already, and arrive 1 s later.
    Cause: the expected time to the first token leaves out what messages wait on the
    way, and where most links are full none of the engines is left alone.
    """
    machine = fleet(entry("one"), entry("two"))
    for name in ("one", "two"):
        report(machine, name, link_delay=MUCH)
    assert isinstance(ask(machine, on_time_left=0.4), Decline)

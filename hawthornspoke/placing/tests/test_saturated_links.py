"""Saturated links shortly before old weights expire, or before a caller's timeout."""

import pytest

from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.placing import Placement, Rejection, WeightsDeclared
from hawthornspoke.placing.tests.test_fleet import ask, entry, fleet, report

EXPIRES_AT = 18.0

#: Link delays during a weights transfer: below the limit for ejection, and above it.
LOW_DELAY, HIGH_DELAY = 0.39, 1.0


def declare(machine):
    """Declare a version; older ones expire at ``EXPIRES_AT``."""
    declared = DeclaredWeights(model="m", version=2)
    machine.step(WeightsDeclared(declared=declared, at=10.0), now=10.0)


@pytest.mark.parametrize("domain", ["a", "b"])
@pytest.mark.parametrize("link_delay", [LOW_DELAY, HIGH_DELAY])
def test_withdrawal_margin_covers_the_link_delay(link_delay, domain):
    """A request started on old weights although it had been withdrawn.

    An engine started a request after its weights had expired; the entry host had
    logged it as withdrawn 0.4 s before that. All engines receive the next version, so
    all links are saturated and no engine can be ejected for it. A request waits at an
    engine; it is withdrawn by closing the connection, which is delayed on the link like
    all other traffic, and the engine starts the request before it notices. Cause: the
    margin was the same for all links, although agents report the delay of each link.
    """
    machine = fleet(entry("one", domain), entry("two", domain))
    declare(machine)
    for name in ("one", "two"):
        report(machine, name, now=12.0, link_delay=link_delay)
    placement = ask(machine, now=12.1, time_until_late=4.0)
    assert isinstance(placement, Placement)
    # Timers of a busy process fire 0.1 s late.
    assert placement.start_deadline + 0.1 + link_delay <= EXPIRES_AT


def test_request_that_cannot_be_on_time_is_rejected_at_once():
    """Requests reached engines after their callers had left.

    Engines got requests more than half a second after their callers had disconnected;
    first events took 1.5 to 1.8 s where 0.2 s were expected. Transfers saturate the
    links of all engines, as their agents report; callers of a stream leave after 2.4 s
    at the latest; requests are sent anyway on open connections and arrive 1 s later.
    Cause: the expected time to first token ignored the link delay, and with most links
    saturated no engine is ejected.
    """
    machine = fleet(entry("one"), entry("two"))
    for name in ("one", "two"):
        report(machine, name, link_delay=HIGH_DELAY)
    assert isinstance(ask(machine, time_until_late=0.4), Rejection)

"""An endpoint that starts again under the same id: what is still believed of it."""

import pytest

from hawthornspoke.catalog import UNKNOWN_START, Incarnation
from hawthornspoke.placing import (
    AgentLost,
    Decline,
    EndpointsListed,
    Finished,
    LoadSeen,
    Sent,
)
from hawthornspoke.placing.tests.test_fleet import ask, entry, fleet, report

FIRST = Incarnation(started_ms=1_000_000)
SECOND = Incarnation(started_ms=1_060_000)
THIRD = Incarnation(started_ms=1_090_000)

#: A start after which the host's clock was put back by an hour.
CLOCK_BACK = Incarnation(started_ms=1_000_000 - 3_600_000)


def listed(machine, *entries, now=1.0):
    """Let the platform tell its list."""
    machine.step(EndpointsListed(entries=entries), now=now)


def one(machine):
    """Return what is believed of the only endpoint."""
    return machine.endpoint_by_id["one"]


def bare(incarnation, **changes):
    """Return the entry of a start that holds no weights."""
    return entry(
        "one",
        incarnation=incarnation,
        **{"weights_version": None, "layers": None, **changes},
    )


def fill(machine, incarnation, *, count=3):
    """Send requests to a start that don't end, and let one fail."""
    for _ in range(count):
        machine.step(Sent(endpoint_id="one", incarnation=incarnation), now=0.5)
    failed = Finished(endpoint_id="one", outcome="silent", incarnation=incarnation)
    machine.step(failed, now=0.6)


def assert_new(endpoint):
    """Check that nothing is remembered of an endpoint."""
    assert endpoint.load == 0
    assert endpoint.own_running == 0
    assert endpoint.failure_rate == 0.0
    assert endpoint.ejected_until == 0.0
    assert endpoint.ejection_count == 0
    assert endpoint.reported_at is None


def test_new_start_in_the_list_begins_with_no_load_and_no_failures():
    """An endpoint that came back was given nothing.

    Events: an endpoint with requests crashes, they end silent, and it is avoided; it
    starts again under its id, seen by the list only. Cause: load, failure rate and
    avoidance were remembered by id.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    fill(machine, FIRST)
    assert one(machine).failure_rate > 0
    listed(machine, entry("one", incarnation=SECOND))
    assert_new(one(machine))
    assert ask(machine).incarnation == SECOND


def test_restart_that_the_list_does_not_know_yet_is_taken_from_the_agent():
    """A request went to an engine without weights.

    Events: an engine restarts within the time in which the list is read; its agent
    tells at once that it holds nothing, then its connection ends. Cause: the list's
    weights of the earlier start were believed again.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, now=0.4)
    fill(machine, FIRST)
    report(machine, "one", version=None, incarnation=SECOND, now=1.0)
    assert one(machine).own_running == 0
    assert one(machine).failure_rate == 0.0
    assert isinstance(ask(machine), Decline)
    machine.step(AgentLost(address="one:1"), now=1.1)
    assert one(machine).weights_version is None
    listed(machine, entry("one", incarnation=FIRST), now=1.2)
    assert isinstance(ask(machine, now=1.2), Decline)
    listed(machine, entry("one", incarnation=SECOND), now=1.3)
    assert ask(machine, now=1.3).incarnation == SECOND


def test_new_start_is_used_by_the_agents_word_while_the_list_is_behind():
    """An engine that was back with its weights waited for the list.

    Events: an endpoint tells that it leaves, restarts and loads; this host is cut off
    from the list, which still tells that the earlier start leaves. Cause: what the
    list told of one start was taken for the other.
    """
    machine = fleet(entry("one", incarnation=FIRST, leaving=True))
    report(machine, "one", incarnation=FIRST, now=0.4)
    assert isinstance(ask(machine), Decline)
    report(machine, "one", incarnation=SECOND, now=1.0)
    assert ask(machine).incarnation == SECOND
    listed(machine, entry("one", incarnation=FIRST, leaving=True), now=1.1)
    assert ask(machine, now=1.1).incarnation == SECOND


def test_host_that_was_cut_off_from_the_agent_believes_the_list():
    """An endpoint was believed to hold what its earlier start held.

    Events: the connection to an agent is cut; the engine restarts, which the list
    tells; the cut heals, and the agent's word of before comes out of it. Cause: the
    agent's word went before the list's, whatever start it was about.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, load=9, now=0.4)
    listed(machine, bare(SECOND), now=2.0)
    assert one(machine).weights_version is None
    report(machine, "one", incarnation=FIRST, load=9, now=2.5)
    assert_new(one(machine))
    assert one(machine).weights_version is None
    assert isinstance(ask(machine, now=2.5), Decline)
    report(machine, "one", incarnation=SECOND, load=1, now=2.6)
    assert one(machine).load == 1
    assert ask(machine, now=2.6).incarnation == SECOND


def test_two_restarts_in_a_row_with_a_late_list():
    """The list's late word put a third start back to the second.

    Events: an engine starts three times; the agent tells all of them before the list
    tells the second. Cause: each change of the list counted as a new start.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    for incarnation in (FIRST, SECOND, THIRD):
        report(machine, "one", incarnation=incarnation, load=2, now=1.0)
    listed(machine, bare(SECOND, leaving=True), now=1.1)
    assert one(machine).incarnation == THIRD
    assert one(machine).load == 2
    assert ask(machine, now=1.1).incarnation == THIRD


def test_two_restarts_in_a_row_with_a_late_agent():
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, now=0.4)
    listed(machine, bare(SECOND), now=1.0)
    listed(machine, bare(THIRD), now=1.1)
    report(machine, "one", incarnation=SECOND, now=1.2)
    assert one(machine).incarnation == THIRD
    assert one(machine).weights_version is None


@pytest.mark.parametrize("outcome", ["failed", "silent", "moved", "unreachable"])
def test_request_that_was_sent_to_the_earlier_start_ends(outcome):
    """A new start was avoided for the earlier one's failures.

    Events: requests run at an endpoint that crashes; it starts again under its id and
    gets a request; only then do the first ones end, silent. Cause: ends were counted
    by id: the new start's request was taken off, the failures noted, and an endpoint
    whose earlier start had moved was taken for gone.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    fill(machine, FIRST)
    listed(machine, entry("one", incarnation=SECOND))
    machine.step(Sent(endpoint_id="one", incarnation=SECOND), now=1.1)
    late = Finished(endpoint_id="one", outcome=outcome, incarnation=FIRST)
    machine.step(late, now=1.2)
    machine.step(LoadSeen(endpoint_id="one", load=12, incarnation=FIRST), now=1.2)
    assert one(machine).own_running == 1
    assert one(machine).load == 1
    assert one(machine).failure_rate == 0.0
    assert not one(machine).gone
    assert ask(machine).incarnation == SECOND


def test_request_that_was_sent_before_any_start_was_known():
    """The same, where the earlier start had not been told by the list."""
    machine = fleet(entry("one"))
    assert ask(machine).incarnation == UNKNOWN_START
    machine.step(Sent(endpoint_id="one"), now=0.5)
    listed(machine, entry("one", incarnation=FIRST))
    assert one(machine).own_running == 1
    listed(machine, entry("one", incarnation=SECOND))
    machine.step(Finished(endpoint_id="one", outcome="silent"), now=1.2)
    assert_new(one(machine))


def test_clock_that_was_put_back_does_not_hide_a_new_start():
    """An endpoint was never used again after its host's clock had been put back.

    Events: the clock goes back by an hour, the endpoint restarts; its start is told
    as earlier than the one before. Cause: starts were ordered by their time of day.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, load=9, now=0.4)
    fill(machine, FIRST)
    listed(machine, entry("one", incarnation=CLOCK_BACK))
    assert_new(one(machine))
    assert ask(machine).incarnation == CLOCK_BACK
    report(machine, "one", incarnation=FIRST, load=9, now=1.1)
    assert one(machine).incarnation == CLOCK_BACK
    report(machine, "one", incarnation=CLOCK_BACK, load=1, now=1.2)
    assert one(machine).load == 1


def test_clock_that_was_put_back_and_the_agent_hears_first():
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, now=0.4)
    report(machine, "one", incarnation=CLOCK_BACK, version=None, now=1.0)
    listed(machine, entry("one", incarnation=FIRST), now=1.1)
    assert one(machine).incarnation == CLOCK_BACK
    assert isinstance(ask(machine, now=1.1), Decline)


def test_entry_without_a_start_keeps_what_is_known():
    """Rows of an older writer tell no start: that is no word of a new one."""
    machine = fleet(entry("one", incarnation=FIRST))
    machine.step(Sent(endpoint_id="one", incarnation=FIRST), now=0.5)
    listed(machine, entry("one"))
    assert one(machine).own_running == 1
    assert one(machine).incarnation == FIRST
    listed(machine, entry("one", incarnation=SECOND))
    assert_new(one(machine))


def test_same_start_keeps_its_load_and_failures():
    machine = fleet(entry("one", incarnation=FIRST))
    fill(machine, FIRST)
    listed(machine, entry("one", incarnation=FIRST, slots=8))
    assert one(machine).own_running == 2
    assert one(machine).failure_rate > 0


def test_agents_word_of_another_address_is_not_kept():
    """An endpoint that came back elsewhere held what was at its old address.

    Events: it restarts at another address, before a row that tells its start. Cause:
    the word of the agent at the old address went with the id.
    """
    machine = fleet(entry("one"))
    report(machine, "one", load=9, now=0.4)
    listed(machine, bare(UNKNOWN_START, address="other:1"))
    assert one(machine).state is None
    assert one(machine).weights_version is None


def test_restart_that_nobody_has_told_yet():
    """An endpoint counted as full whose new start had no request.

    Events: it crashes and starts again before any word tells so; the requests that
    it had break off, and a new one is answered with a lower load than before. Cause
    to be ruled out: that a lower count is passed over as an old word.
    """
    machine = fleet(entry("one", incarnation=FIRST))
    report(machine, "one", incarnation=FIRST, load=30, now=0.4)
    for _ in range(2):
        machine.step(Sent(endpoint_id="one", incarnation=FIRST), now=0.5)
    for _ in range(2):
        broken = Finished(endpoint_id="one", outcome="failed", incarnation=FIRST)
        machine.step(broken, now=0.6)
    machine.step(LoadSeen(endpoint_id="one", load=0, incarnation=FIRST), now=0.7)
    assert one(machine).load == 0
    listed(machine, entry("one", incarnation=SECOND), now=0.8)
    assert_new(one(machine))


def test_hosts_of_which_some_heard_of_a_restart_agree_in_the_end():
    """Two entry hosts believed different weights of one engine.

    Events: an engine restarts; one host hears it from the agent and then the list's
    late word, one from the list and then the agent's late word.
    """
    by_agent = fleet(entry("one", incarnation=FIRST))
    by_list = fleet(entry("one", incarnation=FIRST))
    for machine in (by_agent, by_list):
        report(machine, "one", incarnation=FIRST, load=9, now=0.4)
    report(by_agent, "one", version=None, incarnation=SECOND, now=0.5)
    listed(by_agent, entry("one", incarnation=FIRST, slots=8), now=0.6)
    listed(by_list, bare(SECOND), now=0.5)
    report(by_list, "one", incarnation=FIRST, load=9, now=0.6)
    for machine in (by_agent, by_list):
        assert one(machine).incarnation == SECOND
        assert one(machine).weights_version is None
        assert one(machine).load == 0


def test_agents_word_ends_with_its_connection_also_while_the_entry_is_gone():
    """An endpoint whose entry had lapsed came back with weights of before.

    Events: the entry lapses, so that the connection to the agent is closed; the
    endpoint restarts and registers itself, without telling its start. Cause: the
    agent's word was looked for among the endpoints of the list only.
    """
    machine = fleet(entry("one"))
    report(machine, "one", load=9, now=0.4)
    machine.step(Sent(endpoint_id="one"), now=0.5)
    listed(machine, now=1.0)
    machine.step(AgentLost(address="one:1"), now=1.1)
    listed(machine, bare(UNKNOWN_START), now=1.2)
    assert one(machine).weights_version is None

"""Endpoints that say in their responses that they want no requests."""

import pytest

from hawthornspoke.catalog import Incarnation
from hawthornspoke.placing import (
    EndpointsListed,
    EntryHostsUpdated,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    Rejection,
    RequestSent,
)
from hawthornspoke.placing._endpoint import SIGNAL_MEMORY
from hawthornspoke.placing.tests.test_fleet import entry, fleet
from hawthornspoke.placing.tests.test_rate_limits import ask, make_fleet, plain_entry
from hawthornspoke.signals import INVALID_SIGNAL, SignalsObserved

#: Values of the signals that forbid requests.
RESTRICTIONS = [("leaving", True), ("backoff", 3.0)]
each_restriction = pytest.mark.parametrize(("signal", "value"), RESTRICTIONS)


def say(machine, endpoint_id, *, now, **values):
    """Let an endpoint say something in a response; return what it changes."""
    message = SignalsObserved(
        endpoint_id=endpoint_id, value_by_signal=values, sent_at=now
    )
    return machine.step(message, now=now)


def chosen_ids(machine, *, now):
    """Return the endpoints that are chosen for some requests, None if refused."""
    results = [ask(machine, now=now) for _ in range(12)]
    return {getattr(result, "endpoint_id", None) for result in results}


def relist(machine, *entries, now):
    machine.step(EndpointsListed(entries=entries), now=now)


@each_restriction
def test_endpoint_gets_no_requests_though_the_list_says_ready(signal, value):
    """Guards against a list that overrules what the endpoint itself says."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    (changed,) = say(machine, "e0", now=1.0, **{signal: value})
    assert (changed.signal, changed.before, changed.value) == (signal, None, value)
    assert chosen_ids(machine, now=1.0) == {"e1"}
    relist(machine, plain_entry("e0", slots=9), plain_entry("e1"), now=1.5)
    assert chosen_ids(machine, now=1.5) == {"e1"}


@each_restriction
def test_request_is_not_sent_if_the_signal_comes_after_its_selection(signal, value):
    """Guards against requests that wait for a connection or a permit meanwhile."""
    machine = make_fleet(plain_entry("e0"))
    placement = ask(machine, now=1.0)
    recheck = PlacementRecheck(
        placement_request=PlacementRequest(service="plain"), selected=placement
    )
    assert isinstance(machine.step(recheck, now=1.0)[0], Placement)
    say(machine, "e0", now=1.1, **{signal: value})
    (rejection,) = machine.step(recheck, now=1.2)
    assert isinstance(rejection, Rejection)
    assert rejection.reason == signal


@each_restriction
def test_signal_outlives_a_lapse_of_the_entry(signal, value):
    """Guards against entries that lapse in an outage and return as they were."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    say(machine, "e0", now=1.0, **{signal: value})
    relist(machine, plain_entry("e1"), now=1.2)
    relist(machine, plain_entry("e0"), plain_entry("e1"), now=2.0)
    assert chosen_ids(machine, now=2.0) == {"e1"}


def test_unlisted_endpoint_is_forgotten_in_the_end():
    """Guards against memory that grows with each endpoint that ever left."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    say(machine, "e0", now=1.0, leaving=True)
    for now in (1.2, 1.2 + SIGNAL_MEMORY):
        relist(machine, plain_entry("e1"), now=now)
    assert set(machine.endpoint_by_id) == {"e1"}


@each_restriction
def test_new_incarnation_is_free_of_signals(signal, value):
    """Guards against a restarted endpoint that gets no requests."""
    first, second = Incarnation(started_ms=1), Incarnation(started_ms=2)
    machine = make_fleet(plain_entry("e0", incarnation=first))
    message = SignalsObserved(
        endpoint_id="e0", value_by_signal={signal: value}, incarnation=first
    )
    machine.step(message, now=1.0)
    assert chosen_ids(machine, now=1.0) == {None}
    relist(machine, plain_entry("e0", incarnation=second), now=1.5)
    assert chosen_ids(machine, now=1.5) == {"e0"}
    machine.step(message, now=1.6)
    assert chosen_ids(machine, now=1.6) == {"e0"}


def test_response_does_not_overrule_a_list_that_says_leaving():
    machine = make_fleet(plain_entry("e0", leaving=True), plain_entry("e1"))
    say(machine, "e0", now=1.0)
    assert chosen_ids(machine, now=1.0) == {"e1"}


def test_response_without_the_field_does_not_end_leaving():
    """Guards against an overtaken response that brings a leaving endpoint back."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    say(machine, "e0", now=1.0, leaving=True)
    say(machine, "e0", now=2.0)
    say(machine, "e0", now=2.0, leaving=INVALID_SIGNAL)
    assert chosen_ids(machine, now=2.0) == {"e1"}


def test_requests_are_refused_at_once_if_all_endpoints_leave():
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    for endpoint_id in ("e0", "e1"):
        say(machine, endpoint_id, now=1.0, leaving=True)
    rejection = ask(machine, now=1.0)
    assert rejection.reason == "no_endpoint"
    assert rejection.retry_after > 0


def test_leaving_engine_is_replaced_in_the_subset_of_a_host():
    """Guards against a host that prefers engines which get no requests any more."""
    machine = fleet(*(entry(f"e{number}") for number in range(12)))
    machine.step(EntryHostsUpdated(near=6, all=6, position=0), now=0.5)
    preferred = machine.followed_addresses()
    leaving = min(
        item.endpoint_id
        for item in machine.endpoint_by_id.values()
        if item.entry.address in preferred
    )
    say(machine, leaving, now=1.0, leaving=True)
    followed = machine.followed_addresses()
    assert machine.endpoint_by_id[leaving].entry.address not in followed
    assert len(followed) == len(preferred)


def test_refused_callers_return_when_the_first_pause_ends():
    """Guards against callers that return in vain, or later than they need to."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"), plain_entry("e2"))
    say(machine, "e0", now=1.0, backoff=9.0)
    say(machine, "e1", now=1.0, backoff=2.0)
    say(machine, "e2", now=1.0, leaving=True)
    rejections = [ask(machine, now=1.0, time_left=12.0) for _ in range(30)]
    assert {item.reason for item in rejections} == {"backoff"}
    delays = [item.retry_after for item in rejections]
    assert all(2.0 <= delay <= 4.0 for delay in delays)
    assert len(set(delays)) > 10


def test_request_refused_by_the_only_endpoint_returns_after_the_pause():
    """Guards against a caller that returns at once as its endpoint was tried."""
    machine = make_fleet(plain_entry("e0"))
    say(machine, "e0", now=1.0, backoff=2.0)
    tried = frozenset(("e0",))
    rejection = ask(machine, now=1.0, tried=tried, time_left=12.0)
    assert rejection.reason == "backoff"
    assert rejection.retry_after >= 2.0


def test_pause_does_not_hide_an_endpoint_that_was_only_tried():
    """Guards against a caller that waits for a pause while another endpoint serves."""
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    say(machine, "e0", now=1.0, backoff=60.0)
    rejection = ask(machine, now=1.0, tried=frozenset(("e1",)), time_left=12.0)
    assert rejection.reason == "no_endpoint"


def test_endpoint_is_used_again_after_its_pause():
    machine = make_fleet(plain_entry("e0"), plain_entry("e1"))
    say(machine, "e0", now=1.0, backoff=3.0)
    machine.endpoint_by_id["e1"].own_in_flight = 5
    assert chosen_ids(machine, now=3.9) == {"e1"}
    assert chosen_ids(machine, now=4.4) == {"e0"}


def test_requests_of_one_moment_do_not_exceed_the_ramp():
    """Guards against requests that are selected together before any is sent."""
    machine = make_fleet(plain_entry("e0"))
    say(machine, "e0", now=1.0, backoff=1.0)
    placements = [ask(machine, now=2.1) for _ in range(5)]
    sent = 0
    for placement in placements:
        recheck = PlacementRecheck(
            placement_request=PlacementRequest(service="plain"), selected=placement
        )
        (result,) = machine.step(recheck, now=2.1)
        if isinstance(result, Placement):
            machine.step(RequestSent(endpoint_id="e0"), now=2.1)
            sent += 1
    assert sent == 1

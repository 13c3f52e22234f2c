"""Endpoints that name a rate limit get only requests with a permit."""

import pytest

from hawthornspoke.catalog import Incarnation, Service
from hawthornspoke.permits import PermitsDenied, PermitsGranted, RateLimitUpdated
from hawthornspoke.placing import (
    CatalogChanged,
    EndpointsListed,
    Fleet,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    Rejection,
)
from hawthornspoke.placing._permits import MAX_CLAIM_DELAY
from hawthornspoke.placing.tests.test_fleet import entry
from hawthornspoke.signals import SignalsObserved

SERVICE = "plain"


def make_fleet(*entries):
    """Return a fleet of endpoints without an engine, in failure domain ``a``."""
    fleet = Fleet(failure_domain="a")
    services = {SERVICE: Service(name=SERVICE, engine=None)}
    fleet.step(CatalogChanged(service_by_name=services), now=0.0)
    fleet.step(EndpointsListed(entries=entries), now=0.0)
    return fleet


def plain_entry(endpoint_id, domain="a", **options):
    return entry(endpoint_id, service=SERVICE, domain=domain, **options)


def ask(fleet, *, now, **options):
    (result,) = fleet.step(PlacementRequest(service=SERVICE, **options), now=now)
    return result


def observe(fleet, endpoint_id, rate, *, now, sent_at=None, **options):
    message = SignalsObserved(
        endpoint_id=endpoint_id,
        value_by_signal={} if rate is None else {"rate_limit": rate},
        sent_at=now if sent_at is None else sent_at,
        **options,
    )
    return fleet.step(message, now=now)


def grant(fleet, endpoint_id, *, count=1, now, usable_at=None):
    usable_at = now if usable_at is None else usable_at
    message = PermitsGranted(
        endpoint_id=endpoint_id,
        count=count,
        usable_at=usable_at,
        expires_at=usable_at + 1.0,
    )
    fleet.step(message, now=now)


def claimed_ids(fleet, *, now):
    return sorted(claim.endpoint_id for claim in fleet.permit_claims(now=now))


def test_endpoint_with_a_limit_gets_one_request_for_each_permit():
    """Guards against a limit that holds for some requests only."""
    fleet = make_fleet(plain_entry("e0"), plain_entry("e1"))
    observe(fleet, "e0", 1.0, now=1.0)
    assert {ask(fleet, now=1.0).endpoint_id for _ in range(8)} == {"e1"}
    assert claimed_ids(fleet, now=1.0) == ["e0"]
    grant(fleet, "e0", count=2, now=1.1)
    fleet.endpoint_by_id["e1"].own_in_flight = 5
    placed = [ask(fleet, now=1.2).endpoint_id for _ in range(4)]
    assert placed == ["e0", "e0", "e1", "e1"]


def test_claim_is_not_repeated_before_it_is_answered_or_due():
    fleet = make_fleet(plain_entry("e0"), plain_entry("e1"))
    observe(fleet, "e0", 1.0, now=1.0)
    ask(fleet, now=1.0)
    assert claimed_ids(fleet, now=1.0) == ["e0"]
    ask(fleet, now=1.1)
    assert claimed_ids(fleet, now=1.1) == []
    fleet.step(PermitsDenied(endpoint_id="e0", retry_at=3.0), now=1.2)
    ask(fleet, now=2.9)
    assert claimed_ids(fleet, now=2.9) == []
    ask(fleet, now=3.0)
    assert claimed_ids(fleet, now=3.0) == ["e0"]


def test_claim_is_repeated_though_the_next_permit_is_far_away():
    """Guards against a host that stays without permits once it reaches agents again."""
    fleet = make_fleet(plain_entry("e0"), plain_entry("e1"))
    observe(fleet, "e0", 1.0, now=1.0)
    fleet.step(PermitsDenied(endpoint_id="e0", retry_at=60.0), now=1.0)
    ask(fleet, now=1.0 + MAX_CLAIM_DELAY)
    assert claimed_ids(fleet, now=1.0 + MAX_CLAIM_DELAY) == ["e0"]


def test_permit_is_not_used_before_or_after_its_time():
    fleet = make_fleet(plain_entry("e0"))
    observe(fleet, "e0", 1.0, now=1.0)
    grant(fleet, "e0", count=3, now=1.0, usable_at=1.5)
    assert ask(fleet, now=1.4).reason == "rate_limited"
    assert ask(fleet, now=1.6).endpoint_id == "e0"
    assert ask(fleet, now=2.6).reason == "rate_limited"


def test_request_without_other_endpoints_names_the_permits_it_waits_for():
    fleet = make_fleet(plain_entry("e0"), plain_entry("e1", domain="b"))
    for endpoint_id in ("e0", "e1"):
        observe(fleet, endpoint_id, 1.0, now=1.0)
    rejection = ask(fleet, now=1.0)
    assert isinstance(rejection, Rejection)
    assert rejection.reason == "rate_limited"
    assert rejection.awaited_permits == ("e0", "e1")
    assert claimed_ids(fleet, now=1.0) == ["e0", "e1"]


def test_permits_elsewhere_are_not_claimed_while_endpoints_nearby_serve():
    """Guards against permits that far hosts take from those near the endpoint."""
    fleet = make_fleet(plain_entry("e0"), plain_entry("e1", domain="b"))
    observe(fleet, "e1", 1.0, now=1.0)
    assert ask(fleet, now=1.0).endpoint_id == "e0"
    assert claimed_ids(fleet, now=1.0) == []


def test_request_selected_before_the_limit_was_known_is_not_sent():
    """Guards against requests that wait for a connection while the limit is learned."""
    fleet = make_fleet(plain_entry("e0"))
    request = PlacementRequest(service=SERVICE)
    placements = [ask(fleet, now=1.0) for _ in range(2)]
    observe(fleet, "e0", 1.0, now=1.1)
    grant(fleet, "e0", now=1.1)
    results = [
        fleet.step(
            PlacementRecheck(placement_request=request, selected=placement), now=1.2
        )[0]
        for placement in placements
    ]
    assert isinstance(results[0], Placement)
    assert isinstance(results[1], Rejection)


def test_request_with_a_permit_that_expired_meanwhile_is_not_sent():
    """Guards against a process that stalls and then sends on old permits."""
    fleet = make_fleet(plain_entry("e0"))
    observe(fleet, "e0", 1.0, now=1.0)
    grant(fleet, "e0", now=1.0)
    placement = ask(fleet, now=1.5)
    request = PlacementRequest(service=SERVICE)
    recheck = PlacementRecheck(placement_request=request, selected=placement)
    assert isinstance(fleet.step(recheck, now=1.9)[0], Placement)
    assert isinstance(fleet.step(recheck, now=2.1)[0], Rejection)


def test_success_without_a_limit_ends_it_unless_it_was_overtaken():
    """Guards against a limit that a response to an earlier request takes away."""
    fleet = make_fleet(plain_entry("e0"))
    observe(fleet, "e0", 1.0, now=2.0)
    assert observe(fleet, "e0", None, now=2.1, sent_at=1.5) == []
    assert fleet.endpoint_by_id["e0"].rate_limit.rate == 1.0
    (changed,) = observe(fleet, "e0", None, now=3.1, sent_at=3.0)
    assert (changed.before, changed.value) == (1.0, None)
    assert isinstance(ask(fleet, now=3.2), Placement)


def test_limit_learned_by_another_host_holds_here_too():
    fleet = make_fleet(plain_entry("e0"))
    fleet.step(RateLimitUpdated(endpoint_id="e0", rate=1.0), now=1.0)
    assert ask(fleet, now=1.0).reason == "rate_limited"
    fleet.step(RateLimitUpdated(endpoint_id="e0", rate=None), now=2.0)
    assert isinstance(ask(fleet, now=2.0), Placement)


@pytest.mark.parametrize("restarted", [False, True])
def test_limit_of_an_earlier_incarnation_does_not_hold(restarted):
    """Guards against a restarted endpoint that stays limited, or loses its limit."""
    first, second = Incarnation(started_ms=1), Incarnation(started_ms=2)
    fleet = make_fleet(plain_entry("e0", incarnation=first))
    observe(fleet, "e0", 1.0, now=1.0, incarnation=first)
    if restarted:
        listed = EndpointsListed(entries=(plain_entry("e0", incarnation=second),))
        fleet.step(listed, now=2.0)
    assert isinstance(ask(fleet, now=2.0), Placement) is restarted

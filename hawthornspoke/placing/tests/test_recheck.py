"""Rechecking a selected endpoint just before the request is sent."""

import pytest

from hawthornspoke.catalog import DeclaredWeights, EndpointEntry, Service
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.placing import (
    CatalogChanged,
    EndpointsListed,
    Fleet,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    Rejection,
    WeightsDeclared,
)

ENGINE = engine_profile()


def entry(**changes):
    """Return the list entry of the only endpoint."""
    fields = {
        "endpoint_id": "e",
        "service": "s",
        "address": "10.0.0.1:1",
        "failure_domain": "a",
        "slots": 4,
        "weights_version": 1,
        "layers": (0, 16),
    }
    return EndpointEntry(**fields | changes)


def fleet(engine):
    """Return a fleet with one endpoint, of a plain service or with an engine."""
    machine = Fleet(failure_domain="a")
    services = {"s": Service(name="s", engine=engine)}
    machine.step(CatalogChanged(service_by_name=services), now=0.0)
    machine.step(EndpointsListed(entries=(entry(),)), now=0.0)
    return machine


def choose(machine, now=0.0):
    """Return the selected endpoint."""
    (placement,) = machine.step(PlacementRequest(service="s"), now=now)
    assert isinstance(placement, Placement)
    return placement


def recheck(machine, placement, now=0.0):
    """Return the answer to a recheck."""
    (answer,) = machine.step(
        PlacementRecheck(
            placement_request=PlacementRequest(service="s"), selected=placement
        ),
        now=now,
    )
    return answer


@pytest.fixture(params=[None, ENGINE], ids=["plain", "engine"])
def machine(request):
    return fleet(request.param)


def test_nothing_changed(machine):
    placement = choose(machine)
    assert recheck(machine, placement) == placement


@pytest.mark.parametrize(
    "entries",
    [(), (entry(leaving=True),), (entry(address="10.0.0.2:1"),)],
    ids=["gone", "leaving", "moved"],
)
def test_endpoint_changed(machine, entries):
    placement = choose(machine)
    machine.step(EndpointsListed(entries=entries), now=1.0)
    assert isinstance(recheck(machine, placement, now=1.0), Rejection)


def test_service_was_removed(machine):
    placement = choose(machine)
    machine.step(CatalogChanged(service_by_name={}), now=1.0)
    assert isinstance(recheck(machine, placement, now=1.0), Rejection)


def test_recheck_applies_a_declaration_since_the_selection():
    """A request selected just before a declaration was not withdrawn.

    Cause: its start deadline was computed only once, on selection.
    """
    machine = fleet(ENGINE)
    placement = choose(machine)
    assert placement.start_deadline is None
    declared = DeclaredWeights(model="m", version=2)
    machine.step(WeightsDeclared(declared=declared, at=1.0), now=1.0)
    again = recheck(machine, placement, now=1.0)
    assert again.start_deadline == pytest.approx(1.0 + 8.0 - 0.4)
    assert isinstance(recheck(machine, placement, now=8.5), Rejection)

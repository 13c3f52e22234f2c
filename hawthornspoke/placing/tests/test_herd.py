"""Several entry hosts that see the same reports of the same engines."""

import random

import pytest

from hawthornspoke.catalog import EndpointEntry, Service
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.placing import (
    Ask,
    CatalogChanged,
    EndpointsListed,
    EngineReported,
    EntryHostsSeen,
    Fleet,
    Place,
    Sent,
)
from hawthornspoke.placing._herd import DecayingRate, estimated_growth

SLOTS = 12
ENGINE = engine_profile(
    slots=SLOTS,
    step=0.00673,
    step_per_request=0.0000219,
    steps_per_pass=7,
    read_rate=30600.0,
    usual_answer=130.0,
    layers=0,
)
HOSTS = 34
REQUESTS_A_SECOND = 12.0
AIM = 0.4


def fleets(engines, hosts=HOSTS):
    """Return entry hosts of two failure domains that know the same engines."""
    entries = tuple(
        EndpointEntry(
            endpoint_id=f"e{number}",
            service="s",
            address=f"10.0.0.{number}:80",
            failure_domain="ab"[number % 2],
            slots=SLOTS,
        )
        for number in range(engines)
    )
    made = []
    for number in range(hosts):
        fleet = Fleet(failure_domain="ab"[number % 2], seed=number)
        services = {"s": Service(name="s", engine=ENGINE)}
        fleet.step(CatalogChanged(service_by_name=services), now=0.0)
        fleet.step(EndpointsListed(entries=entries), now=0.0)
        fleet.step(EntryHostsSeen(near=hosts // 2, all=hosts), now=0.0)
        made.append(fleet)
    return made


def report(fleets, load_by_engine, now):
    """Let every host hear the load of every engine."""
    for fleet in fleets:
        for number, load in enumerate(load_by_engine):
            message = EngineReported(
                address=f"10.0.0.{number}:80",
                load=load,
                weights_version=None,
                layers=None,
            )
            fleet.step(message, now=now)


def play(fleets, load_by_engine, *, seconds, start, aim=AIM, returned=False):
    """Let callers come to all hosts; return how many requests each engine gets."""
    rng = random.Random(7)
    got = [0] * len(load_by_engine)
    declined = 0
    now = start
    while now < start + seconds:
        now += rng.expovariate(REQUESTS_A_SECOND * len(fleets))
        fleet = rng.choice(fleets)
        ask = Ask(
            service="s",
            prompt_tokens=900,
            on_time_left=aim,
            time_left=6.0,
            returned=returned,
        )
        (answer,) = fleet.step(ask, now=now)
        if isinstance(answer, Place):
            fleet.step(Sent(endpoint_id=answer.endpoint_id), now=now)
            got[int(answer.endpoint_id[1:])] += 1
        else:
            declined += 1
    return got, declined


def test_one_free_slot_is_not_taken_by_every_host():
    """An engine shed half of what it got and began the rest 1.2 s late.

    Events: all engines of a fleet are full; one reports two free slots; within
    80 ms 26 of 34 entry hosts send it a request. Cause: each of them sees the same
    report, and only its own requests since.
    """
    hosts = fleets(engines=6)
    full = [SLOTS + 8] * 6
    report(hosts, full, now=1.0)
    play(hosts, full, seconds=1.0, start=1.0)
    report(hosts, [SLOTS - 2, *full[1:]], now=2.0)
    got, _ = play(hosts, full, seconds=0.1, start=2.0)
    assert 1 <= got[0] <= 10
    assert sum(got[1:]) == 0


def test_callers_that_are_late_spread_over_free_engines():
    """An engine got 40 requests within 0.3 s and began none of them.

    Events: callers whose first tries failed return; one engine reports the fewest
    requests. Cause: each entry host sent all of them to the engine with the least
    expected time.
    """
    hosts = fleets(engines=12)
    loads = [3, *[5] * 11]
    report(hosts, loads, now=1.0)
    got, declined = play(hosts, loads, seconds=0.2, start=1.0, aim=-0.2, returned=True)
    assert declined == 0
    assert got[0] <= 3 * sum(got) / len(got)


def test_engines_with_room_get_what_comes():
    """Nothing is refused where the fleet has room, also on reports that are old."""
    hosts = fleets(engines=40)
    calm = [5] * 40
    report(hosts, calm, now=1.0)
    got, declined = play(hosts, calm, seconds=0.5, start=1.0)
    assert declined == 0
    assert max(got) <= 4 * sum(got) / len(got)


def test_single_host_counts_only_itself():
    (alone,) = fleets(engines=2, hosts=1)
    report([alone], [5, 5], now=1.0)
    got, declined = play([alone], [0, 0], seconds=0.5, start=1.0)
    assert declined == 0
    assert sum(got) > 0


def test_load_does_not_grow_while_as_much_ends_as_comes():
    shared = {"load": 12, "slot_time": 1.5, "slots": 12, "age": 0.5}
    assert estimated_growth(arrivals=80.0, engines_with_room=10, **shared) == 0.0
    assert estimated_growth(
        arrivals=180.0, engines_with_room=10, **shared
    ) == pytest.approx(5.0)


def test_load_that_was_never_told_is_not_guessed():
    growth = estimated_growth(
        arrivals=100.0, engines_with_room=1, load=0, slot_time=1.0, slots=4, age=None
    )
    assert growth == 0.0


def test_rate_follows_what_comes():
    rate = DecayingRate()
    for number in range(400):
        rate.count(number * 0.05)
    assert rate.value(20.0) == pytest.approx(20.0, rel=0.1)
    assert rate.value(24.0) < 1.0

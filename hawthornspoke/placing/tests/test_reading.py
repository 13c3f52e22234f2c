"""A crowd that comes at once, and the prompts that engines read one after the other."""

import random

import pytest

from hawthornspoke.placing import Place, Sent
from hawthornspoke.placing._reading import PrefillBacklog
from hawthornspoke.placing.tests.test_fleet import ENGINE, ask, entry, fleet, report

ENGINES = 10

#: Callers within a fifth of a second, and the seconds that each has until it is late.
CROWD = 60
WITHIN = 0.2
AIM = 0.45

PROMPT = 1500


def read_in_turn(arrivals):
    """Return the seconds until each prompt of an engine is read."""
    free_at, waits = 0.0, []
    for arrived in sorted(arrivals):
        free_at = max(free_at, arrived) + PROMPT / ENGINE.read_rate
        waits.append(free_at - arrived)
    return waits


def play_crowd(seed):
    """Return the share of a crowd's callers whose first token comes in time."""
    names = [f"e{number}" for number in range(ENGINES)]
    machine = fleet(*(entry(name) for name in names))
    rng = random.Random(seed)
    # Some engines have just changed their weights and are empty; the others' answers
    # are nearly over.
    for number, name in enumerate(names):
        report(machine, name, load=0 if number < ENGINES // 2 else 12, now=1.0)
    arrivals_by_name = {name: [] for name in names}
    for moment in sorted(rng.uniform(0.0, WITHIN) for _ in range(CROWD)):
        now = 1.0 + moment
        place = ask(machine, now=now, on_time_left=AIM, prompt_tokens=PROMPT)
        if isinstance(place, Place):
            name = place.endpoint_id
            machine.step(Sent(endpoint_id=name, prompt_tokens=PROMPT), now=now)
            arrivals_by_name[name].append(moment)
    waits = [
        wait
        for arrivals in arrivals_by_name.values()
        for wait in read_in_turn(arrivals)
    ]
    return sum(wait <= AIM - 0.1 for wait in waits) / CROWD


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crowd_is_spread_by_what_engines_have_yet_to_read(seed):
    """The first engines that were back got a dozen callers within a tenth of a second.

    Symptom: first tokens come 0.2 to 0.5 s later than expected in the second after a
    gap, or while engines change their weights, though slots are free everywhere.
    Events: half of the engines are empty, the others three quarters full; each caller
    goes to the emptier of two; an engine reads one prompt after the other.
    Cause: only slots counted, and of these there are enough for all.

    Figure: 0.93 of the callers in time before, 1.00 after.
    """
    assert play_crowd(seed) >= 0.95


def test_growth_that_nobody_here_has_sent_is_read_as_well():
    reading = PrefillBacklog()
    reading.add_remote_requests(growth=6, age=0.1, usual_seconds=0.05, now=2.0)
    assert reading.left(2.0) == pytest.approx(0.25)
    assert reading.left(2.5) == 0.0


@pytest.mark.parametrize(("growth", "age"), [(1, 0.1), (-3, 0.1), (6, None), (6, 5.0)])
def test_growth_that_tells_nothing_counts_for_nothing(growth, age):
    reading = PrefillBacklog()
    reading.add_remote_requests(growth=growth, age=age, usual_seconds=0.05, now=2.0)
    assert reading.left(2.0) == 0.0

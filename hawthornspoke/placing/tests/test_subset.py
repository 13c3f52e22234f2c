"""Subsets of entry hosts: the assignment of engines, and the effect on callers."""

from collections import Counter

import pytest

from hawthornspoke.placing._subset import (
    MAX_FAR_ENGINES,
    MIN_HOSTS_PER_ENGINE,
    MIN_NEAR_ENGINES,
    NARROW_COOLDOWN,
    Subset,
)
from hawthornspoke.placing.tests.load_simulation import LoadSimulation

#: Entry hosts and engines of one failure domain in typical deployments: few, a
#: fifth of 99 and of 156, and a ninth of 330 and of 1,600.
SIZES = [(1, 5), (3, 3), (11, 10), (20, 16), (20, 31), (37, 178)]


def subsets(hosts, engines, far=0):
    """Return the subset of each host of a failure domain."""
    made = []
    for index in range(hosts):
        subset = Subset(host=f"h{index}")
        subset.set_position(position=index, hosts=hosts, now=0.0)
        subset.set_engines(
            near=[f"e{number}" for number in range(engines)],
            far=[f"f{number}" for number in range(far)],
            now=0.0,
        )
        made.append(subset)
    return made


def near(subset):
    """Return the ids of the near engines in a subset."""
    return {key for key in subset.added_at_by_id if key.startswith("e")}


@pytest.mark.parametrize(("hosts", "engines"), SIZES)
def test_hosts_per_engine_differ_by_one_at_most(hosts, engines):
    """An engine preferred by fewer hosts is idle while the others are full.

    If each of 20 hosts draws eight of 31 engines at random, some engines get two hosts
    and others nine.
    """
    count = Counter(key for item in subsets(hosts, engines) for key in near(item))
    assert len(count) == engines
    assert max(count.values()) - min(count.values()) <= 1
    assert min(count.values()) >= min(hosts, MIN_HOSTS_PER_ENGINE)


def test_subset_includes_all_of_few_engines():
    """With a dozen engines all hosts follow all engines."""
    for subset in subsets(hosts=3, engines=MIN_NEAR_ENGINES, far=MAX_FAR_ENGINES):
        assert len(subset.added_at_by_id) == MIN_NEAR_ENGINES + MAX_FAR_ENGINES
        assert (subset.near_share, subset.far_share) == (1.0, 1.0)


def test_leaving_host_changes_few_assignments():
    before = subsets(hosts=20, engines=31)
    after = subsets(hosts=19, engines=31)
    moved = [
        len(near(new) - near(old)) for old, new in zip(before, after, strict=False)
    ]
    assert sum(moved) / len(moved) <= 1.0
    assert max(moved) <= 2


def test_restarted_engine_changes_no_assignment():
    (subset,) = subsets(hosts=1, engines=31)
    initial = dict(subset.added_at_by_id)
    names = [f"e{number}" for number in range(31)]
    subset.set_engines(near=reversed(names), far=(), now=5.0)
    assert subset.added_at_by_id == initial


def test_far_engines_are_spread_over_the_hosts():
    """Otherwise the overflow of all hosts would go to the same engines."""
    count = Counter(
        key
        for subset in subsets(hosts=99, engines=31, far=125)
        for key in subset.added_at_by_id
        if key.startswith("f")
    )
    assert len(count) == 125
    assert max(count.values()) <= 2 * 99 * MAX_FAR_ENGINES / 125


def test_subset_widens_while_it_is_full():
    subset = subsets(hosts=20, engines=31)[0]
    now = 0.0
    for _ in range(200):
        now += 0.05
        subset.record_request(spilled=True, now=now)
    assert len(near(subset)) == 31
    for _ in range(int(4 * NARROW_COOLDOWN / 0.05)):
        now += 0.05
        subset.record_request(spilled=False, now=now)
    assert len(near(subset)) == MIN_NEAR_ENGINES


def test_imminent_rejection_widens_the_subset_at_once():
    """Requests were rejected on load reports a second old while slots were free."""
    subset = subsets(hosts=20, engines=31)[0]
    subset.widen_to_all(now=1.0)
    assert len(near(subset)) == 31


def test_subset_serves_callers_as_well_with_fewer_messages():
    """Agents sent 3,500 load reports a second in one failure domain, most without use.

    20 hosts send to 31 engines with eight slots in ten occupied. Hosts that prefer
    eight engines, and use others once these are full, serve as many requests on time
    with less than half of the messages, and the busiest engine gets no more.
    """
    without_subset = LoadSimulation(mean_demand=0.8, uses_subset=False).run()
    with_subset = LoadSimulation(mean_demand=0.8, uses_subset=True).run()
    assert with_subset.share_on_time() >= without_subset.share_on_time() - 0.01
    assert with_subset.imbalance() <= without_subset.imbalance() + 0.1
    assert with_subset.messages <= 0.5 * without_subset.messages


@pytest.mark.parametrize("mean_demand", [0.9, 1.0, 1.2])
def test_subset_serves_as_many_on_time_at_full_load(mean_demand):
    """The same with nearly all slots occupied, or demand above capacity.

    A host then has to widen its subset to all engines in time. Sums of three seeds,
    since single runs differ by several percent at 1.0.
    """
    shares = []
    for uses_subset in (False, True):
        runs = [
            LoadSimulation(
                mean_demand=mean_demand, uses_subset=uses_subset, seed=seed
            ).run()
            for seed in (3, 4, 5)
        ]
        asked = sum(item.on_time + item.late + item.refused for item in runs)
        shares.append(sum(item.on_time for item in runs) / asked)
    without_subset, with_subset = shares
    assert with_subset >= without_subset - 0.03

"""Hosts that were silent for a while take part again once they are heard."""

import signal

import pytest

REJOIN_SECONDS = 10.0


def statuses(fleet, observer, names):
    """Return the statuses of some hosts as an observer knows them."""
    state = fleet.dump(observer)
    by_id = {} if state is None else state["membership"]["by_id"]
    return {by_id[name]["status"] for name in names if name in by_id}


def wait_status(fleet, observers, names, status, seconds):
    for observer in observers:
        fleet.wait_for(
            lambda observer=observer: statuses(fleet, observer, names) == {status},
            seconds,
        )


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_restarted_entry_host_gets_the_reports_of_its_agents(fresh_fleet, number):
    """Guards against an entry host that never hears its agents again.

    Agents consider the only entry host of their failure domain dead or leaving while it
    restarts. They learned of entry hosts only from replies to their own reports, so
    that they kept reporting to other failure domains.
    """
    fleet = fresh_fleet
    agents = ["runner-0", "billing-0"]
    fleet.signal("entry-0", number)
    fleet.process_by_name["entry-0"].wait(30)
    wait_status(fleet, agents, ["entry-0"], "dead", 20.0)
    fleet.start_node("entry-0")
    fleet.wait_for(lambda: fleet.is_ready("entry-0"))
    wait_status(fleet, agents, ["entry-0"], "alive", REJOIN_SECONDS)
    wait_status(fleet, ["entry-0"], agents, "alive", REJOIN_SECONDS)
    fleet.wait_for(fleet.membership_converged, REJOIN_SECONDS)


def test_failure_domains_hear_each_other_after_a_partition(fresh_fleet):
    """Guards against a partition that lasts after the network is whole again.

    Entry hosts on both sides consider each other dead. Neither side sent anything to
    the other any more.
    """
    fleet = fresh_fleet
    inside, outside = ["entry-1"], ["entry-0", "entry-2"]
    fleet.partition("gent-noord", from_platform=False)
    wait_status(fleet, outside, inside, "dead", 20.0)
    wait_status(fleet, inside, outside, "dead", 20.0)
    fleet.heal_partitions()
    wait_status(fleet, outside, [*inside, "runner-1"], "alive", REJOIN_SECONDS)
    wait_status(fleet, inside, [*outside, "runner-0"], "alive", REJOIN_SECONDS)

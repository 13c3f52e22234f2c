"""Guarantee: a leaving endpoint gets no new requests after a few seconds."""

import signal
import time

from tests.callers import VerifyingClients

#: Seconds after the first notice of leaving in which new requests may still start.
GRACE_SECONDS = 3.0


def runs_started_after(fleet, name, seconds, start_leaving):
    """Return the number of runs started on a host after a delay, and the clients."""
    with VerifyingClients(fleet, fleet.host_names("entry"), thread_count=6) as clients:
        clients.wait_results(60)
        start_leaving()
        time.sleep(seconds)
        before = len(fleet.runs(name)["runs"])
        clients.wait_results(100)
        after = len(fleet.runs(name)["runs"])
    assert clients.mismatches() == []
    assert clients.falsely_not_run() == []
    return after - before, clients


def test_host_drained_by_an_operator_gets_no_new_requests(fresh_fleet):
    """Guards against a drained host that gets new requests or drops running ones."""

    def start_leaving():
        assert fresh_fleet.run_command("drain", "runner-0").returncode == 0

    late_runs, clients = runs_started_after(fresh_fleet, "runner-0", 0.5, start_leaving)
    assert late_runs == 0
    assert clients.failed_requests() == []


def test_host_leaving_by_the_platforms_list_alone_gets_no_new_requests(fresh_fleet):
    """Guards against failed requests on a host that the platform removes."""

    def start_leaving():
        fresh_fleet.publish_host_list(leaving=("runner-0",))

    late_runs, clients = runs_started_after(
        fresh_fleet, "runner-0", GRACE_SECONDS, start_leaving
    )
    assert late_runs == 0
    assert clients.failed_requests() == []


def test_agent_stopped_by_sigterm_gets_no_new_requests(fresh_fleet):
    """Guards against requests that are aborted when an agent is stopped."""

    def start_leaving():
        fresh_fleet.signal("runner-0", signal.SIGTERM)

    late_runs, clients = runs_started_after(fresh_fleet, "runner-0", 0.5, start_leaving)
    assert late_runs == 0
    assert clients.failed_requests() == []
    fresh_fleet.wait_for(lambda: not fresh_fleet.is_running("runner-0"))


def test_frozen_agent_runs_no_outdated_requests_after_resuming(fresh_fleet):
    """Guards against a resumed host that runs outdated requests.

    An agent is suspended under load, is listed as leaving and is resumed. Requests
    queued in its sockets must not run if their connections have been closed.
    """
    fleet = fresh_fleet
    with VerifyingClients(fleet, fleet.host_names("entry"), thread_count=6) as clients:
        clients.wait_results(60)
        fleet.suspend("runner-0")
        fleet.publish_host_list(leaving=("runner-0",))
        time.sleep(GRACE_SECONDS + 2.5)
        before = len(fleet.runs("runner-0")["runs"])
        fleet.resume("runner-0")
        clients.wait_results(100)
        after = len(fleet.runs("runner-0")["runs"])
    assert after == before
    assert clients.mismatches() == []
    assert clients.falsely_not_run() == []

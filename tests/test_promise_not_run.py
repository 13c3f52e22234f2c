"""Guarantee: a request that is reported as "not run" was not run."""

import time

from tests.callers import VerifyingClients


def test_killed_and_frozen_agents_under_load(fresh_fleet):
    """Guards against a request that is run twice after a false "not run".

    Under load, one agent is killed and restarted and another is suspended for four
    seconds. A broken or silent connection does not prove that a request was not run.
    """
    fleet = fresh_fleet
    with VerifyingClients(
        fleet, fleet.host_names("entry"), thread_count=8, non_idempotent=True
    ) as clients:
        clients.wait_results(50)
        fleet.kill("runner-0")
        clients.wait_results(50)
        fleet.start_node("runner-0")
        fleet.suspend("runner-1")
        time.sleep(4)
        fleet.resume("runner-1")
        clients.wait_results(100)
    assert clients.mismatches() == []
    assert clients.falsely_not_run() == []
    assert clients.repeatedly_run() == []
    assert clients.count("done") > 100


def test_refused_engine_connection_proves_not_run(fresh_fleet):
    """Guards against reporting "unknown" for a request that was never sent.

    An engine is killed while its agent still accepts requests. A refused connection
    must be distinguished from a broken one.
    """
    fleet = fresh_fleet
    fleet.kill("runner-0.engine")
    with VerifyingClients(
        fleet, fleet.host_names("entry"), thread_count=4, non_idempotent=True
    ) as clients:
        clients.wait_results(80)
    assert clients.mismatches() == []
    # Only requests that were running when the engine was killed have an unknown
    # outcome; later ones go to other engines.
    assert clients.count("unknown") + clients.count("cut") <= 4
    assert clients.count("done") >= 70


def test_lost_response_of_a_plain_service_is_reported_as_unknown(fleet):
    """Guards against reporting an executed call as not run.

    The service executes the call and its response is truncated. An error while
    reading the response must not be treated as a rejection.
    """
    for name in fleet.host_names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 1})
    before = total_runs(fleet)
    response = fleet.call("entry-0", "/services/billing/invoices")
    assert response.status == 502, response.data
    assert b'"outcome": "unknown"' in response.data
    for name in fleet.host_names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 0})
    assert total_runs(fleet) - before == 1


def total_runs(fleet):
    return sum(len(fleet.runs(name)["runs"]) for name in fleet.host_names("billing"))

"""Promise: when a caller is told "not run", it truly was not run."""

import time

from tests.callers import Callers


def test_killed_and_frozen_agents_under_load(fresh_fleet):
    """Symptom: a caller is told "not run", asks again, and the work is done twice.

    Events: under load an agent is killed and started again, another is frozen for
    four seconds and woken.
    Cause: taking a broken or silent connection for a proof.
    """
    fleet = fresh_fleet
    with Callers(fleet, fleet.names("entry"), tasks=8, marked=True) as callers:
        callers.wait_answers(50)
        fleet.kill("runner-0")
        callers.wait_answers(50)
        fleet.start_node("runner-0")
        fleet.freeze("runner-1")
        time.sleep(4)
        fleet.wake("runner-1")
        callers.wait_answers(100)
    assert callers.complaints() == []
    assert callers.not_run_but_ran() == []
    assert callers.ran_twice() == []
    assert callers.count("done") > 100


def test_engine_down_is_proof(fresh_fleet):
    """Symptom: a marked request fails as unknown although nothing was sent.

    Events: an engine is killed; its agent still takes requests.
    Cause: not telling a refused connection from a broken one.
    """
    fleet = fresh_fleet
    fleet.kill("runner-0.engine")
    with Callers(fleet, fleet.names("entry"), tasks=4, marked=True) as callers:
        callers.wait_answers(80)
    assert callers.complaints() == []
    # Requests in progress at the kill are unknown; all later ones go elsewhere.
    assert callers.count("unknown") + callers.count("cut") <= 4
    assert callers.count("done") >= 70


def test_plain_service_whose_answer_is_lost_is_unknown(fleet):
    """Symptom: an invoice that was issued is reported as not issued.

    Events: the service runs the call and its answer breaks off.
    Cause: taking an error on the way back for a refusal.
    """
    for name in fleet.names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 1})
    before = total_runs(fleet)
    answer = fleet.call("entry-0", "/services/billing/invoices")
    assert answer.status == 502, answer.data
    assert b'"outcome": "unknown"' in answer.data
    for name in fleet.names("billing"):
        fleet.post(fleet.engine_url(name) + "/_faults", {"drop_answers": 0})
    assert total_runs(fleet) - before == 1


def total_runs(fleet):
    return sum(len(fleet.runs(name)["runs"]) for name in fleet.names("billing"))

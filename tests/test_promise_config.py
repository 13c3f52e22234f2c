"""Promise: an accepted configuration is in force in seconds and never reverts."""

import json
import random
import threading
import time

from tests.clients import VerifyingClients
from tests.fleet import declarations

MAX_PROPAGATION_SECONDS = 5.0


def declare_rate(fleet, rate):
    fleet.declare(
        "50-rate.toml", f"[organisations.federation]\nrequests_per_second = {rate}\n"
    )


def revisions(fleet, names=None):
    names = names or [host["host"] for host in fleet.hosts]
    revision_by_host = {}
    for name in names:
        state = fleet.dump(name) if fleet.is_running(name) else None
        if state is not None:
            revision_by_host[name] = state["revision"]["revision"]
    return revision_by_host


def accepted_revision(fleet):
    rows = fleet.get(f"{fleet.platform_url}/_rows")
    return int(rows["config"]["revision"]["N"])


def test_changes_are_in_force_within_five_seconds(fleet):
    """Symptom: some host goes on by an old limit for a minute."""
    for rate in (1000, 2000, 3000):
        declare_rate(fleet, rate)
        fleet.apply()
        expected = accepted_revision(fleet)
        seconds = fleet.wait_for(
            lambda expected=expected: set(revisions(fleet).values()) == {expected},
            MAX_PROPAGATION_SECONDS,
        )
        assert seconds < MAX_PROPAGATION_SECONDS


def test_of_two_operators_one_wins_and_the_other_is_told(fleet):
    """Symptom: an operator's change vanishes although it was accepted.

    Events: two operators apply different folders on the same base at once.
    Cause: writing without comparing the base.
    """
    base = accepted_revision(fleet)
    results = []

    def apply(number):
        folder = fleet.folder / f"race-{number}"
        folder.mkdir(exist_ok=True)
        extra = f"requests_per_second = {5000 + number}\n"
        (folder / "10.toml").write_text(declarations(extra=extra))
        results.append(
            fleet.command(
                "apply", str(folder), "--base", str(base), "--author", f"op{number}"
            )
        )

    threads = [threading.Thread(target=apply, args=(number,)) for number in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(completed.returncode for completed in results)
    assert codes == [0, 3, 3], [completed.stderr for completed in results]
    assert accepted_revision(fleet) == base + 1
    loser = next(completed for completed in results if completed.returncode == 3)
    assert "was first" in loser.stderr
    assert "organisations.federation.requests_per_second" in loser.stderr


def test_lost_answer_of_an_apply_is_read_back(fleet):
    """Symptom: an operator is told of a failure and the change is in force."""
    before = accepted_revision(fleet)
    declare_rate(fleet, random.randrange(10_000, 20_000))
    fleet.faults(table_lost_answers=1)
    printed = fleet.apply()
    fleet.faults(table_lost_answers=0)
    assert f"revision {before + 1} accepted" in printed
    assert accepted_revision(fleet) == before + 1


def test_platform_down_for_long_and_back(fleet):
    """Symptom: nodes lose their configuration or stop when the platform is down."""
    before = accepted_revision(fleet)
    fleet.wait_for(
        lambda: set(revisions(fleet).values()) == {before}, MAX_PROPAGATION_SECONDS
    )
    fleet.faults(table_down=True, hosts_down=True)
    with VerifyingClients(fleet, fleet.names("entry"), thread_count=4) as clients:
        time.sleep(6)
    completed = fleet.command("apply", str(fleet.folder / "declarations"))
    assert completed.returncode == 4, completed.stderr
    assert clients.failed_requests() == []
    assert clients.mismatches() == []
    assert set(revisions(fleet).values()) == {before}
    fleet.faults(table_down=False, hosts_down=False)
    declare_rate(fleet, 777)
    fleet.apply()
    expected = accepted_revision(fleet)
    fleet.wait_for(
        lambda: set(revisions(fleet).values()) == {expected}, MAX_PROPAGATION_SECONDS
    )


def test_cut_off_domain_serves_on_and_catches_up(fresh_fleet):
    """Symptom: a failure domain that is cut off stops, or goes back when it heals.

    Events: one domain is cut off from the others and the platform; a revision is
    accepted; a node in the cut domain restarts, so that its only source is a
    stale neighbour; the cut heals.
    Cause: needing the platform to serve, or taking the last heard revision.
    """
    fleet = fresh_fleet
    domain = "anderlecht"
    inside = [h["host"] for h in fleet.hosts if h["failure_domain"] == domain]
    before = accepted_revision(fleet)
    fleet.partition(domain)
    declare_rate(fleet, 4321)
    fleet.apply()
    expected = accepted_revision(fleet)
    outside = [h["host"] for h in fleet.hosts if h["host"] not in inside]
    fleet.wait_for(
        lambda: set(revisions(fleet, outside).values()) == {expected},
        MAX_PROPAGATION_SECONDS,
    )
    time.sleep(3)
    with VerifyingClients(fleet, ["entry-0"], thread_count=3) as clients:
        clients.wait_results(60)
    assert clients.failed_requests() == []
    assert clients.mismatches() == []
    assert set(revisions(fleet, inside).values()) == {before}

    highest = {}
    stopped = threading.Event()
    regressions = []

    def watch():
        while not stopped.is_set():
            for name, revision in revisions(fleet, outside + ["runner-0"]).items():
                if revision < highest.get(name, 0):
                    regressions.append((name, revision))
                highest[name] = max(revision, highest.get(name, 0))

    watcher = threading.Thread(target=watch)
    watcher.start()
    fleet.heal_partitions()
    names = [host["host"] for host in fleet.hosts]
    fleet.wait_for(
        lambda: set(revisions(fleet, names).values()) == {expected},
        MAX_PROPAGATION_SECONDS + 5,
    )
    stopped.set()
    watcher.join()
    assert regressions == []


def test_restarted_node_takes_no_traffic_by_a_stale_neighbours_word(fresh_fleet):
    """Symptom: after a restart an entry host admits by limits replaced long ago.

    Events: an entry host restarts while its neighbours can't reach the platform
    and are behind; it can.
    Cause: being ready by the first configuration that comes along.
    """
    fleet = fresh_fleet
    fleet.partition("gent-noord")
    declare_rate(fleet, 1234)
    fleet.apply()
    expected = accepted_revision(fleet)
    fleet.kill("entry-0")
    fleet.heal_partitions()
    fleet.start_node("entry-0")
    fleet.wait_for(lambda: fleet.ready("entry-0"))
    assert revisions(fleet, ["entry-0"]) == {"entry-0": expected}


def unknown_key_error(fleet, entry):
    """Return the answer to a key that no configuration has."""
    response = fleet.complete(entry, headers={"Authorization": "Bearer none-of-ours"})
    return response.status, json.loads(response.data)["error"]["code"]


def test_entry_host_that_is_cut_off_refuses_no_key_for_good(fleet):
    """Symptom: a caller whose key had just been added was refused for good.

    Events: an entry host loses the table; a key may be added meanwhile; its caller is
    told 401 and does not return. Cause: whether the host knows the newest
    configuration was asked once, at its start.
    """
    names = fleet.names("entry")
    for name in names:
        fleet.wait_for(
            lambda name=name: (
                unknown_key_error(fleet, name) == (401, "unauthenticated")
            ),
            5.0,
        )
    fleet.faults(table_down=True)
    try:
        time.sleep(MAX_PROPAGATION_SECONDS + 1.0)
        for name in names:
            assert unknown_key_error(fleet, name) == (503, "not_ready")
            assert fleet.complete(name).status == 200
    finally:
        fleet.faults(table_down=False)
    for name in names:
        fleet.wait_for(
            lambda name=name: (
                unknown_key_error(fleet, name) == (401, "unauthenticated")
            ),
            5.0,
        )


def test_host_that_reads_the_table_rarely_denies_after_one_more_read(fresh_fleet):
    """Symptom: wrong keys were told to come back for half a minute.

    Events: an entry host that leaves the table to others meets a key that it doesn't
    know, 30 s after its last read. Cause: it waited for its own turn to read.
    """
    fleet = fresh_fleet
    name = fleet.names("entry")[0]
    default_platform_toml = fleet.platform_toml()
    fleet.platform_toml = lambda: default_platform_toml + "poll_every = 30.0\n"
    fleet.kill(name)
    fleet.start_node(name)
    fleet.wait_ready([name])
    time.sleep(MAX_PROPAGATION_SECONDS + 1.0)
    seconds = fleet.wait_for(
        lambda: unknown_key_error(fleet, name) == (401, "unauthenticated"),
        MAX_PROPAGATION_SECONDS,
    )
    assert seconds < 3.0

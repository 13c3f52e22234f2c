"""Guarantee: accepted configurations apply within seconds and never revert."""

import json
import random
import threading
import time

from tests.callers import VerifyingClients
from tests.fleet import declarations

MAX_PROPAGATION_SECONDS = 5.0


def declare_rate(fleet, rate):
    fleet.write_declaration(
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
    """Guards against a host that still applies an old limit a minute after a change."""
    for rate in (1000, 2000, 3000):
        declare_rate(fleet, rate)
        fleet.apply()
        expected = accepted_revision(fleet)
        seconds = fleet.wait_for(
            lambda expected=expected: set(revisions(fleet).values()) == {expected},
            MAX_PROPAGATION_SECONDS,
        )
        assert seconds < MAX_PROPAGATION_SECONDS


def test_two_operators_on_one_base_get_one_acceptance_and_a_conflict(fleet):
    """Guards against losing an accepted change.

    Three operators concurrently apply different folders with the same base revision.
    A write that does not compare the base revision overwrites another change.
    """
    base = accepted_revision(fleet)
    results = []

    def apply(number):
        folder = fleet.folder / f"race-{number}"
        folder.mkdir(exist_ok=True)
        extra = f"requests_per_second = {5000 + number}\n"
        (folder / "10.toml").write_text(declarations(extra=extra))
        results.append(
            fleet.run_command(
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


def test_apply_with_a_lost_answer_is_read_back(fleet):
    """Guards against reporting a failure for a change that the table has accepted."""
    before = accepted_revision(fleet)
    declare_rate(fleet, random.randrange(10_000, 20_000))
    fleet.set_platform_faults(table_lost_answers=1)
    printed = fleet.apply()
    fleet.set_platform_faults(table_lost_answers=0)
    assert f"revision {before + 1} accepted" in printed
    assert accepted_revision(fleet) == before + 1


def test_nodes_keep_their_configuration_during_a_platform_outage(fleet):
    """Guards against nodes that lose their configuration during a platform outage."""
    before = accepted_revision(fleet)
    fleet.wait_for(
        lambda: set(revisions(fleet).values()) == {before}, MAX_PROPAGATION_SECONDS
    )
    fleet.set_platform_faults(table_down=True, hosts_down=True)
    with VerifyingClients(fleet, fleet.host_names("entry"), thread_count=4) as clients:
        time.sleep(6)
    completed = fleet.run_command("apply", str(fleet.folder / "declarations"))
    assert completed.returncode == 4, completed.stderr
    assert clients.failed_requests() == []
    assert clients.mismatches() == []
    assert set(revisions(fleet).values()) == {before}
    fleet.set_platform_faults(table_down=False, hosts_down=False)
    declare_rate(fleet, 777)
    fleet.apply()
    expected = accepted_revision(fleet)
    fleet.wait_for(
        lambda: set(revisions(fleet).values()) == {expected}, MAX_PROPAGATION_SECONDS
    )


def test_partitioned_domain_keeps_serving_and_catches_up(fresh_fleet):
    """Guards against a partitioned failure domain that stops serving or reverts.

    A domain is partitioned from the other domains and the platform, a revision is
    accepted and the partition is removed. The domain stops serving if that requires
    the platform. A node that restarted in the partitioned domain reverts if it adopts
    the latest revision received, which may come from a neighbour with an older one.
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


def test_restarted_node_is_not_ready_with_a_stale_configuration(fresh_fleet):
    """Guards against a restarted entry host that applies outdated limits.

    An entry host outside a partition restarts right after the partition is removed,
    while hosts inside it still have an old revision. It must not become ready with
    the first configuration that it receives.
    """
    fleet = fresh_fleet
    fleet.partition("gent-noord")
    declare_rate(fleet, 1234)
    fleet.apply()
    expected = accepted_revision(fleet)
    fleet.kill("entry-0")
    fleet.heal_partitions()
    fleet.start_node("entry-0")
    fleet.wait_for(lambda: fleet.is_ready("entry-0"))
    assert revisions(fleet, ["entry-0"]) == {"entry-0": expected}


def unknown_key_error(fleet, entry):
    """Return status and error code of a request with an unknown key."""
    response = fleet.send_completion(
        entry, headers={"Authorization": "Bearer none-of-ours"}
    )
    return response.status, json.loads(response.data)["error"]["code"]


def test_entry_host_without_the_table_rejects_no_key_permanently(fleet):
    """Guards against a permanent rejection (401) of a key that was just added.

    A key may be added while an entry host cannot read the table, and a client that
    gets 401 does not retry. The failure occurred because the host checked only at
    startup whether its configuration is current.
    """
    names = fleet.host_names("entry")
    for name in names:
        fleet.wait_for(
            lambda name=name: (
                unknown_key_error(fleet, name) == (401, "unauthenticated")
            ),
            5.0,
        )
    fleet.set_platform_faults(table_down=True)
    try:
        time.sleep(MAX_PROPAGATION_SECONDS + 1.0)
        for name in names:
            assert unknown_key_error(fleet, name) == (503, "not_ready")
            assert fleet.send_completion(name).status == 200
    finally:
        fleet.set_platform_faults(table_down=False)
    for name in names:
        fleet.wait_for(
            lambda name=name: (
                unknown_key_error(fleet, name) == (401, "unauthenticated")
            ),
            5.0,
        )


def test_host_that_rarely_reads_the_table_rejects_after_an_extra_read(fresh_fleet):
    """Guards against answering unknown keys with "retry later" for half a minute.

    An entry host that reads the table only every 30 s receives an unknown key. The
    failure occurred because it waited for its next scheduled read.
    """
    fleet = fresh_fleet
    name = fleet.host_names("entry")[0]
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

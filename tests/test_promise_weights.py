"""Guarantee: no response from partial weights or a mixture of two versions."""

import json

from tests.callers import VerifyingClients
from tests.conftest import random_weights
from tests.fleet import Fleet, declarations


def live_digests(fleet):
    digests = {}
    for name in fleet.host_names("runner"):
        state = fleet.dump(name)
        if state is not None:
            digests[name] = state["gate"]["live_by_service"].get("redacteur")
    return digests


def all_live(fleet, digest):
    found = live_digests(fleet)
    return len(found) == len(fleet.host_names("runner")) and set(found.values()) == {
        digest
    }


def declared_digest(fleet, name="runner-0"):
    return fleet.dump(name)["deployment"]["declared_by_key"]["redacteur"]


def switch_to(fleet, version, source):
    fleet.write_declaration("20-version.toml", _version_toml(version, source))
    fleet.apply("--wait", "20")
    return declared_digest(fleet)


def _version_toml(version, source):
    return (
        f'[models.redac.versions.{version}]\nsource = "{source}"\n'
        f'[services.redacteur]\nversion = "{version}"\n'
    )


def test_switch_under_load_with_corrupt_chunks_and_a_killed_agent(fresh_fleet):
    """Guards against responses from partially loaded or mixed weights.

    A new version is distributed under load, every tenth chunk from the origin is
    corrupted, and an agent is killed and restarted during a load. Loading unverified
    chunks, or switching before all chunks are present, would corrupt responses. Each
    response must be generated entirely from the digest in its header.
    """
    fleet = fresh_fleet
    with VerifyingClients(fleet, fleet.host_names("entry"), thread_count=8) as clients:
        clients.wait_results(50)
        fleet.set_platform_faults(origin_corrupt_share=0.1)
        fleet.write_declaration("20-version.toml", _version_toml("v2", "redac-v2"))
        fleet.apply()
        fleet.kill("runner-1")
        clients.wait_results(50)
        fleet.start_node("runner-1")
        fleet.wait_for(
            lambda: declared_digest(fleet) != live_digests(fleet).get("x", "")
        )
        fleet.wait_for(lambda: all_live(fleet, declared_digest(fleet)))
        clients.wait_results(100)
    assert clients.mismatches() == []
    assert clients.falsely_not_run() == []
    failed = sum(
        fleet.dump(name)["swarm"]["failed_by_cause"].get("corrupt", 0)
        for name in fleet.host_names("runner")
    )
    assert failed > 0


def test_engine_restarted_without_weights_is_reloaded(fresh_fleet):
    """Guards against permanent failures on a host whose engine was restarted.

    The engine is killed while its agent keeps running, and restarts without weights.
    The agent must not assume that weights which it loaded earlier are still loaded.
    """
    fleet = fresh_fleet
    with VerifyingClients(fleet, fleet.host_names("entry")) as clients:
        clients.wait_results(20)
        fleet.kill("runner-0.engine")
        clients.wait_results(50)
        fleet.start_engine("runner-0")
        fleet.wait_for(lambda: fleet.runs("runner-0") is not None)
        fleet.wait_for(lambda: fleet.runs("runner-0")["runs"])
        clients.wait_results(50)
    assert clients.mismatches() == []
    state = fleet.get(fleet.engine_url("runner-0") + "/state")
    assert state["loaded"] == [declared_digest(fleet)]


def test_origin_bytes_changed_during_distribution_are_never_loaded():
    """Guards against a version that mixes bytes from before and after a change.

    The origin's bytes of a declared source change during the distribution. Chunks
    must be verified by the digests pinned at acceptance, not trusted by name.
    """
    options = ["--origin-rate", "400000"]
    with Fleet(agents=3, plain=0, platform_options=options) as fleet:
        fleet.publish("redac-v1", random_weights(1, chunks=10))
        fleet.publish("redac-v2", random_weights(2, chunks=80))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "20")
        fleet.wait_ready()
        before = declared_digest(fleet)
        fleet.write_declaration("20-version.toml", _version_toml("v2", "redac-v2"))
        fleet.apply()
        fleet.wait_for(lambda: fleet.platform_counts()["origin_bytes"] > 20 * 16384)
        fleet.publish("redac-v2", random_weights(3, chunks=80))
        with VerifyingClients(
            fleet, fleet.host_names("entry"), thread_count=3
        ) as clients:
            # More than the full size was read, so no valid chunk is still in transit.
            fleet.wait_for(
                lambda: fleet.platform_counts()["origin_bytes"] > 100 * 16384
            )
        assert clients.mismatches() == []
        assert clients.count("done") == len(clients.results)
        # The origin no longer has the pinned bytes, so the old version stays live.
        assert all_live(fleet, before)
        # Once they are declared as another version, the new bytes become live.
        expected = switch_to(fleet, "v3", "redac-v2")
        fleet.wait_for(lambda: all_live(fleet, expected))


def test_engine_with_memory_for_one_version_switches_without_a_failed_request():
    """Guards against a loss of capacity or mixed responses during a swap.

    Engines can hold only one version and a new one is declared under load. Capacity is
    lost if all hosts swap at the same time; responses are mixed if an engine swaps
    while it runs requests.
    """
    size = len(random_weights(1))
    with Fleet(
        agents=3,
        plain=0,
        domains=("anderlecht",),
        engine_options=["--memory", str(int(size * 1.5))],
        agent_settings={"settle": 1.0},
    ) as fleet:
        fleet.publish("redac-v1", random_weights(1))
        fleet.publish("redac-v2", random_weights(2))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "20")
        fleet.wait_ready()
        min_live = 3
        with VerifyingClients(
            fleet, fleet.host_names("entry"), thread_count=4
        ) as clients:
            fleet.write_declaration("20-version.toml", _version_toml("v2", "redac-v2"))
            fleet.apply("--wait", "20")
            expected = declared_digest(fleet)
            while not all_live(fleet, expected):
                live = [item for item in live_digests(fleet).values() if item]
                min_live = min(min_live, len(live))
            clients.wait_results(20)
        assert clients.mismatches() == []
        assert clients.failed_requests() == []
        assert min_live >= 2


def test_adapter_is_served_only_on_its_own_base(fleet):
    """Guards against an adapter applied to weights it was not trained for.

    The service is declared with a version that is not the adapter's base. Declarations
    that refer to each other must be validated together before they are accepted.
    """
    fleet.publish("grades", random_weights(5, chunks=2))
    adapter = (
        '[models.redac.adapters.grades]\nbase = "v1"\nsource = "grades"\n'
        '[services.redacteur]\nadapters = ["grades"]\n'
    )
    fleet.write_declaration("30-adapter.toml", adapter)
    fleet.apply("--wait", "20")
    fleet.wait_ready()
    # Agents are ready before their heartbeats have reached the entry hosts.
    fleet.wait_for(lambda: fleet.is_live_key_known("redacteur:grades"))
    response = fleet.send_completion(model="redacteur:grades", max_tokens=3)
    assert response.status == 200, response.data
    digest = response.headers["X-Weights-Digest"]
    assert json.loads(response.data)["choices"][0]["text"].count(digest[:12]) == 3

    fleet.write_declaration("40-wrong.toml", _version_toml("v2", "redac-v2"))
    checked = fleet.run_command("check", str(fleet.folder / "declarations"))
    applied = fleet.run_command("apply", str(fleet.folder / "declarations"))
    assert "is for base 'v1', not 'v2'" in applied.stderr
    assert applied.returncode == 1
    assert checked.returncode != 0

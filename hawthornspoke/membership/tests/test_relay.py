"""Tests of relay selection and of takeover after the failure of a relay."""

from types import SimpleNamespace

from hawthornspoke.membership import (
    may_relay,
    probe_targets,
    relay_targets,
    silent_peers,
    summary_targets,
)


def view(name, domain="x"):
    return SimpleNamespace(node=name, failure_domain=domain)


ENTRIES = [view(f"entry-{number}") for number in range(5)]


def relays_of(node, copy_deadline, now=10.0):
    relays = []
    for entry in ENTRIES:
        others = [item for item in ENTRIES if item is not entry]
        if entry in relay_targets(node=node, failure_domain="x", entries=ENTRIES):
            allowed = may_relay(
                relay=entry.node,
                node=node,
                failure_domain="x",
                entries=others,
                copy_deadline=copy_deadline,
                now=now,
            )
            relays += [entry.node] if allowed else []
    return relays


def test_second_relay_takes_over_without_fresh_copies():
    """Guards against hiding an endpoint from a failure domain when a relay dies.

    The first relay of an agent fails, so the second one receives no copy of its record
    any more. Without a second relay, or without its takeover, the agent is not relayed.
    """
    for number in range(20):
        agent = f"runner-{number}"
        assert len(relays_of(agent, copy_deadline=11.0)) == 1
        assert len(relays_of(agent, copy_deadline=9.0)) == 2


def test_agents_prefer_relays_of_own_failure_domain():
    entries = [view("near"), view("far-1", "y"), view("far-2", "y")]
    targets = relay_targets(node="a", failure_domain="x", entries=entries)
    assert [item.node for item in targets] == ["near"]
    fallback = relay_targets(node="a", failure_domain="x", entries=entries[1:])
    assert len(fallback) == 2


def test_summaries_are_spread_evenly_over_entry_hosts():
    entries = [view(f"far-{number}", "y") for number in range(4)]
    target_nodes = [
        summary_targets(
            failure_domain="x",
            entries=entries,
            sender_index=sender_index,
            round_number=round_number,
        )[0]
        for round_number in range(4)
        for sender_index in range(4)
    ]
    assert all(target_nodes.count(item) == 4 for item in entries)


def probed(entries, silent, round_number=0):
    views = probe_targets(
        node="runner-0",
        failure_domain="x",
        entries=entries,
        silent=silent,
        round_number=round_number,
    )
    return [item.node for item in views]


def test_agents_probe_the_silent_relays_that_they_prefer():
    """Guards against a returned entry host without the reports of its agents."""
    preferred = relay_targets(node="runner-0", failure_domain="x", entries=ENTRIES)
    others = [item for item in ENTRIES if item not in preferred]
    assert probed(ENTRIES, []) == []
    assert set(probed(others, preferred)) == {item.node for item in preferred}
    assert probed(preferred, others) == []


def test_probes_of_agents_reach_every_silent_relay_in_turn():
    """Guards against waiting for two dead entry hosts while a third has returned."""
    far = [view("far", "y")]
    rounds = [probed(far, ENTRIES, number) for number in range(len(ENTRIES))]
    assert {len(names) for names in rounds} == {2}
    assert {name for names in rounds for name in names} == {
        item.node for item in ENTRIES
    }


def test_silent_relays_of_other_failure_domains_are_not_probed():
    assert probed(ENTRIES, [view("far", "y")]) == []


def test_silent_peers_are_probed_in_turn():
    """Guards against two entry hosts that consider each other dead for ever."""
    silent = [*ENTRIES, view("far", "y")]
    targets = [
        silent_peers(failure_domain="x", silent=silent, round_number=number)
        for number in range(len(ENTRIES))
    ]
    assert sorted(item.node for views in targets for item in views) == [
        item.node for item in ENTRIES
    ]
    assert silent_peers(failure_domain="z", silent=silent, round_number=0) == []

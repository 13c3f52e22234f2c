"""Relays: who reports to whom, and what a dead relay hides."""

from types import SimpleNamespace

from hawthornspoke.membership import may_relay, relay_targets, summary_targets


def view(name, domain="x"):
    return SimpleNamespace(node=name, failure_domain=domain)


ENTRIES = [view(f"entry-{number}") for number in range(5)]


def relays_of(node, copy_deadline, now=10.0):
    found = []
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
            found += [entry.node] if allowed else []
    return found


def test_one_relay_tells_while_copies_are_fresh_and_both_when_not():
    """Symptom: an endpoint is hidden from a failure domain when a relay dies.

    Events: the first relay of an agent falls silent; the second hears no copy.
    Cause: one relay only, or a second one that never takes over.
    """
    for number in range(20):
        agent = f"runner-{number}"
        assert len(relays_of(agent, copy_deadline=11.0)) == 1
        assert len(relays_of(agent, copy_deadline=9.0)) == 2


def test_agents_report_in_their_own_failure_domain_first():
    entries = [view("near"), view("far-1", "y"), view("far-2", "y")]
    chosen = relay_targets(node="a", failure_domain="x", entries=entries)
    assert [item.node for item in chosen] == ["near"]
    without = relay_targets(node="a", failure_domain="x", entries=entries[1:])
    assert len(without) == 2


def test_summaries_reach_every_entry_host_of_a_domain_evenly():
    entries = [view(f"far-{number}", "y") for number in range(4)]
    reached = [
        summary_targets(failure_domain="x", entries=entries, place=place, turn=turn)[0]
        for turn in range(4)
        for place in range(4)
    ]
    assert all(reached.count(item) == 4 for item in entries)

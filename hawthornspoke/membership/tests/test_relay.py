"""Tests of relay selection and of takeover after the failure of a relay."""

from types import SimpleNamespace

from hawthornspoke.membership import may_relay, relay_targets, summary_targets


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

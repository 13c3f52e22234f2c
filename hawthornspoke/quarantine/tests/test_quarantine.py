"""Quarantine of requests after endpoints have ended while running them."""

from hypothesis import given, settings, strategies

from hawthornspoke.quarantine import (
    EVIDENCE_LIFETIME,
    EndpointEnded,
    Evidence,
    EvidenceReceived,
    EvidenceUpdate,
    Quarantine,
    Quarantined,
    Released,
    RequestCompleted,
)
from hawthornspoke.quarantine._evidence import MAX_ENDS_PER_REQUEST, MAX_REQUESTS


def end(machine, incarnation_id, *fingerprints, now, in_use=10, idle_ended=()):
    """End an endpoint that runs some requests."""
    message = EndpointEnded(
        incarnation_id=incarnation_id,
        fingerprints=fingerprints,
        other_endpoints_in_use=in_use,
        idle_ended=idle_ended,
    )
    return machine.step(message, now=now)


def is_refused(machine, fingerprint, *, now=10.0):
    return machine.quarantined_until(fingerprint, now=now) is not None


def of_kind(outcomes, kind):
    return [item for item in outcomes if isinstance(item, kind)]


def test_third_end_puts_a_request_in_quarantine():
    machine = Quarantine()
    end(machine, "e1", "poison", now=1.0)
    end(machine, "e2", "poison", now=2.0)
    assert not is_refused(machine, "poison")
    outcomes = end(machine, "e3", "poison", now=3.0)
    (quarantined,) = of_kind(outcomes, Quarantined)
    assert quarantined.incarnation_ids == ("e1", "e2", "e3")
    assert is_refused(machine, "poison")


def test_end_reported_twice_counts_once():
    machine = Quarantine()
    for incarnation_id in ("e1", "e2", "e2", "e2"):
        end(machine, incarnation_id, "poison", now=1.0)
    assert not is_refused(machine, "poison")


def test_quarantine_ends_when_its_evidence_expires():
    machine = Quarantine()
    for number in range(3):
        end(machine, f"e{number}", "poison", now=float(number))
    assert machine.quarantined_until("poison", now=5.0) == EVIDENCE_LIFETIME
    assert not is_refused(machine, "poison", now=EVIDENCE_LIFETIME + 0.1)


def test_requests_that_ran_beside_a_poison_request_are_not_refused():
    machine = Quarantine()
    end(machine, "e1", "poison", "beside-1", "beside", now=1.0)
    end(machine, "e2", "poison", "beside-2", "beside", now=2.0)
    end(machine, "e3", "poison", "beside-3", now=3.0)
    assert is_refused(machine, "poison")
    for name in ("beside", "beside-1", "beside-2", "beside-3"):
        assert not is_refused(machine, name)


def test_request_beside_a_poison_request_at_three_ends_is_not_refused():
    machine = Quarantine()
    for number in range(4):
        names = ("poison", "beside") if number else ("poison",)
        end(machine, f"e{number}", *names, now=float(number))
    assert is_refused(machine, "poison")
    assert not is_refused(machine, "beside")


def test_neither_of_two_requests_at_the_same_ends_is_refused():
    machine = Quarantine()
    for number in range(3):
        end(machine, f"e{number}", "poison", "beside", now=float(number))
    assert not is_refused(machine, "poison")
    assert not is_refused(machine, "beside")
    end(machine, "e3", "poison", now=3.0)
    assert is_refused(machine, "poison")
    assert not is_refused(machine, "beside")


def test_poison_request_that_never_runs_alone_is_refused():
    machine = Quarantine()
    for number in range(5):
        end(machine, f"e{number}", "poison", "beside", now=float(number))
    assert is_refused(machine, "poison")


def test_two_poison_requests_are_both_identified():
    machine = Quarantine()
    for number in range(3):
        end(machine, f"a{number}", "poison-1", "beside-1", now=float(number))
        end(machine, f"b{number}", "poison-2", "beside-2", now=number + 0.5)
    end(machine, "a3", "poison-1", now=3.0)
    end(machine, "b3", "poison-2", "beside-1", now=3.5)
    end(machine, "a4", "poison-1", now=4.0)
    assert is_refused(machine, "poison-1") and is_refused(machine, "poison-2")
    assert not is_refused(machine, "beside-1")
    assert not is_refused(machine, "beside-2")


def test_completed_request_is_cleared_and_shared():
    machine = Quarantine()
    end(machine, "e1", "popular", now=1.0)
    end(machine, "e2", "popular", now=2.0)
    (update,) = machine.step(RequestCompleted(fingerprint="popular"), now=2.5)
    assert {item.incarnation_id for item in update.items if item.cleared} == {
        "e1",
        "e2",
    }
    end(machine, "e3", "popular", now=3.0)
    assert not is_refused(machine, "popular")


def test_completion_releases_a_quarantined_request():
    machine = Quarantine()
    for number in range(3):
        end(machine, f"e{number}", "popular", now=float(number))
    outcomes = machine.step(RequestCompleted(fingerprint="popular"), now=4.0)
    assert of_kind(outcomes, Released)
    assert not is_refused(machine, "popular")


def test_completion_of_an_unsuspected_request_changes_nothing():
    assert Quarantine().step(RequestCompleted(fingerprint="usual"), now=1.0) == []


def test_mass_end_of_endpoints_is_no_evidence_against_their_requests():
    machine = Quarantine()
    for round_number in range(4):
        for number in range(6):
            end(
                machine,
                f"e{number}-{round_number}",
                f"usual-{number}",
                now=10.0 * round_number + 0.01 * number,
                in_use=5 - number,
            )
    for number in range(6):
        assert not is_refused(machine, f"usual-{number}", now=40.0)


def test_mass_end_does_not_clear_a_request_with_two_earlier_ends():
    """Two poison requests at the same time must not count as a mass failure."""
    machine = Quarantine()
    end(machine, "e1", "poison", now=1.0)
    end(machine, "e2", "poison", now=2.0)
    end(machine, "e3", "poison", now=3.0, in_use=0)
    end(machine, "e4", "beside", now=3.05, in_use=0)
    assert is_refused(machine, "poison")
    assert not is_refused(machine, "beside")


def test_mass_end_is_recognized_by_a_host_that_used_one_endpoint():
    """Guards against a quarantine of all requests of a host that has few of them."""
    machine = Quarantine()
    for number in range(6):
        idle = (f"i1-{number}", f"i2-{number}")
        names = ("usual-1", "usual-2")
        end(machine, f"e{number}", *names, now=3.0 * number, in_use=0, idle_ended=idle)
        machine.step(RequestCompleted(fingerprint="usual-1"), now=3.0 * number + 1.0)
        assert not is_refused(machine, "usual-2", now=3.0 * number + 1.0)


def test_idle_ends_do_not_clear_a_request_with_two_earlier_ends():
    """Guards against a poison request that is cleared as it ended all endpoints."""
    machine = Quarantine()
    end(machine, "e1", "poison", now=1.0, in_use=0)
    end(machine, "e2", "poison", now=1.2, in_use=0)
    end(machine, "e3", "poison", now=1.4, in_use=0, idle_ended=("e1", "e2"))
    assert is_refused(machine, "poison")


def test_mass_end_preceded_by_a_single_end_is_no_evidence():
    """A host that used a single endpoint must still detect later mass failures."""
    machine = Quarantine()
    end(machine, "e1", "usual", now=1.0, in_use=0)
    for round_number in range(2, 6):
        end(machine, f"e1-{round_number}", "usual", now=3.0 * round_number, in_use=1)
        end(
            machine,
            f"e2-{round_number}",
            "other",
            now=3.0 * round_number + 0.01,
            in_use=0,
        )
        assert not is_refused(machine, "usual", now=3.0 * round_number + 0.01)


def test_poison_request_at_many_endpoints_at_once_is_no_mass_end():
    machine = Quarantine()
    for number in range(4):
        end(machine, f"e{number}", "poison", f"x{number}", now=0.05 * number, in_use=0)
    assert is_refused(machine, "poison")
    assert not any(is_refused(machine, f"x{number}") for number in range(4))


def test_ends_seen_by_several_hosts_add_up():
    hosts = [Quarantine() for _ in range(3)]
    shared = []
    for number, host in enumerate(hosts):
        outcomes = end(host, f"e{number}", "poison", now=1.0)
        shared += [
            item for sent in of_kind(outcomes, EvidenceUpdate) for item in sent.items
        ]
    for host in hosts:
        host.step(EvidenceReceived(items=tuple(shared)), now=1.1)
        assert is_refused(host, "poison")


def test_known_evidence_is_ignored():
    machine = Quarantine()
    item = Evidence(fingerprint="f", incarnation_id="e", deadline=100.0)
    assert machine.step(EvidenceReceived(items=(item,)), now=1.0)
    assert machine.step(EvidenceReceived(items=(item,)), now=1.0) == []


def test_requests_with_one_end_do_not_displace_a_quarantined_one():
    machine = Quarantine()
    for number in range(3):
        end(machine, f"e{number}", "poison", now=float(number))
    for number in range(3 * MAX_REQUESTS):
        end(machine, f"x{number}", f"usual-{number}", now=4.0 + 0.3 * number)
    assert is_refused(machine, "poison", now=EVIDENCE_LIFETIME - 1.0)
    assert machine.dump(now=5.0)["requests"] <= MAX_REQUESTS


def test_evidence_per_request_is_bounded():
    machine = Quarantine()
    for number in range(100):
        end(machine, f"e{number}", "poison", now=float(number))
    assert len(machine.evidence(now=100.0)) < 10


def test_cleared_ends_leave_room_for_those_that_a_request_caused():
    """Guards against a poison request whose recorded ends are all cleared ones."""
    machine = Quarantine()
    for number in range(3 * MAX_ENDS_PER_REQUEST):
        end(machine, f"m{number}", "poison", now=float(number))
        machine.step(RequestCompleted(fingerprint="poison"), now=number + 0.5)
    assert not is_refused(machine, "poison", now=29.0)
    for number in range(3):
        end(machine, f"e{number}", "poison", now=30.0 + number)
    assert is_refused(machine, "poison", now=33.0)
    assert len(machine.evidence(now=33.0)) <= 2 * MAX_ENDS_PER_REQUEST


ITEMS = strategies.builds(
    Evidence,
    fingerprint=strategies.sampled_from(["a", "b", "c"]),
    incarnation_id=strategies.sampled_from(["e1", "e2", "e3", "e4"]),
    deadline=strategies.just(100.0),
    cleared=strategies.booleans(),
)


@settings(max_examples=200, deadline=None)
@given(items=strategies.lists(ITEMS, max_size=20), seed=strategies.randoms())
def test_hosts_agree_whatever_the_order_of_evidence(items, seed):
    """Guards against one host refusing a request that another one sends."""
    first, second = Quarantine(), Quarantine()
    first.step(EvidenceReceived(items=tuple(items)), now=1.0)
    shuffled = list(items)
    seed.shuffle(shuffled)
    for item in shuffled:
        second.step(EvidenceReceived(items=(item,)), now=1.0)
    for name in ("a", "b", "c"):
        assert is_refused(first, name) == is_refused(second, name)

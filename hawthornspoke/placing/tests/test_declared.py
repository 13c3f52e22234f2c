"""From when declared versions bind."""

from hawthornspoke.catalog import UNKNOWN, DeclaredVersions, DeclaredWeights
from hawthornspoke.placing import (
    Ask,
    Decline,
    EngineReported,
    EntryHostsSeen,
    Place,
    WeightsDeclared,
)
from hawthornspoke.placing._validity import WITHDRAW_MARGIN, WITHDRAW_MARGIN_FAR
from hawthornspoke.placing.tests.test_fleet import ask, entry, fleet, report

TWO = DeclaredWeights(model="m", version=2)
THREE = DeclaredWeights(model="m", version=3)


def declare(machine, declared, *, at, now):
    machine.step(WeightsDeclared(declared=declared, at=at), now=now)


def place(machine, *, now, contact_now=None):
    ask = Ask(service="llm", prompt_tokens=900, contact_now=contact_now)
    return machine.step(ask, now=now)[0]


def agent_says(machine, *, declared_at, now):
    report = EngineReported(
        address="one:1",
        load=0,
        weights_version=1,
        layers=(0, 16),
        model="m",
        next_version=2,
        declared=((2, declared_at),),
    )
    machine.step(report, now=now)


def test_declaration_of_unknown_age_binds_at_once():
    """An entry host that had just started sent requests to weights that were too old.

    Events: a version is declared; a host starts 4 s later and finds it in the table.
    Cause: it counted the bound from its own start. Until somebody tells when the
    declaration was made, it may have been long ago.
    """
    machine = fleet(entry("one"))
    declare(machine, TWO, at=UNKNOWN, now=10.0)
    assert isinstance(place(machine, now=10.0), Decline)


def test_agents_tell_a_host_that_has_started_when_it_was():
    """The same host refused what old weights could still answer."""
    machine = fleet(entry("one"))
    declare(machine, TWO, at=UNKNOWN, now=10.0)
    agent_says(machine, declared_at=1.0, now=10.1)
    assert isinstance(place(machine, now=10.1), Decline)
    agent_says(machine, declared_at=6.1, now=10.2)
    assert isinstance(place(machine, now=10.2), Place)
    agent_says(machine, declared_at=5.0, now=13.2)
    assert isinstance(place(machine, now=12.8), Place)
    withdrawn_at = 6.1 + 8.0 - WITHDRAW_MARGIN
    assert isinstance(place(machine, now=withdrawn_at - 0.1), Decline)


def test_what_the_platform_tells_goes_before_the_agents_word():
    machine = fleet(entry("one"))
    declare(machine, TWO, at=5.0, now=5.1)
    agent_says(machine, declared_at=9.0, now=12.5)
    assert isinstance(place(machine, now=12.5), Decline)


def test_later_word_on_the_same_version_only_dates_it_better():
    declared = DeclaredVersions()
    assert declared.add(TWO, at=UNKNOWN)
    assert not declared.add(TWO, at=4.0)
    assert not declared.add(TWO, at=3.0)
    assert declared.since("m") == 4.0
    assert declared.add(THREE, at=9.0)
    assert not declared.add(TWO, at=11.0)
    assert declared.too_old_at("m", 1, bound=8.0) == 12.0
    assert declared.too_old_at("m", 2, bound=8.0) == 17.0
    assert declared.too_old_at("m", 3, bound=8.0) is None


def test_suspended_host_wakes_to_the_true_age_of_a_declaration():
    """A host that was suspended for 6 s used old weights 6 s too long.

    Cause: the bound was counted on a clock that stands still meanwhile.
    """
    machine = fleet(entry("one"))
    declare(machine, TWO, at=10.0, now=10.0)
    assert isinstance(place(machine, now=12.0, contact_now=12.0), Place)
    assert isinstance(place(machine, now=12.0, contact_now=18.0), Decline)


def test_place_on_old_weights_tells_until_when_it_must_have_begun():
    machine = fleet(entry("one"))
    assert place(machine, now=1.0).begin_deadline is None
    declare(machine, TWO, at=10.0, now=10.0)
    found = place(machine, now=12.0, contact_now=15.0)
    # Three seconds of the bound passed while the host was suspended.
    assert found.begin_deadline == 10.0 + 8.0 - 3.0 - WITHDRAW_MARGIN
    assert found.weights_version == 1


def test_version_that_was_missed_binds_what_is_older():
    """A host sent requests to weights that two declarations had replaced.

    Events: version 2 is declared at 21.0 and version 3 at 25.0; a host starts at 26
    and hears of version 3 only; engines hold version 1, which is too old at 29.0.
    Cause: it counted from version 3 for version 1 as well.
    """
    machine = fleet(entry("one"))
    declare(machine, THREE, at=25.0, now=26.0)
    assert isinstance(place(machine, now=26.1), Decline)
    two = EngineReported(
        address="one:1",
        load=0,
        weights_version=1,
        layers=(0, 16),
        model="m",
        declared=((2, 21.0), (3, 25.0)),
    )
    machine.step(two, now=26.2)
    found = place(machine, now=26.3)
    assert found.begin_deadline == 29.0 - WITHDRAW_MARGIN
    machine.step(two, now=28.9)
    assert isinstance(place(machine, now=28.9), Decline)


def test_host_that_was_away_for_a_while_dates_what_it_missed_from_then():
    declared = DeclaredVersions()
    declared.add(DeclaredWeights(model="m", version=1), at=0.0)
    declared.add(THREE, at=25.0, known_until=20.0)
    assert declared.too_old_at("m", 1, bound=8.0) == 28.0
    assert declared.too_old_at("m", 2, bound=8.0) == 33.0
    assert declared.dated("m", youngest=22.0) == [(3, 25.0)]


def test_request_to_another_failure_domain_is_taken_back_sooner():
    machine = fleet(entry("far", domain="b"))
    declare(machine, TWO, at=10.0, now=10.0)
    assert place(machine, now=12.0).begin_deadline == 18.0 - WITHDRAW_MARGIN_FAR


def test_version_below_the_first_declares_nothing():
    """A message with version 0 raised at the agent that took it."""
    declared = DeclaredVersions()
    assert not declared.add(DeclaredWeights(model="m", version=0), at=1.0)
    assert declared.latest("m") is None


def test_request_that_is_expected_to_begin_too_late_is_not_sent_to_old_weights():
    """Requests were sent to old weights only to be withdrawn, and answered 502.

    Symptom: a place is logged with an expected time that is longer than what is left
    until the request must have begun.
    Events: a bound is 1.25 s away; nine entry hosts see two engines with one free
    slot each by a report that is 0.25 s old; each expects what the others will have
    sent since, 0.89 s to the first token, and sends its request with 0.85 s left.
    Cause: whether it begins in time is asked of the load that was told, and when it
    is on time of the load that is expected.
    """
    machine = fleet(entry("one"), entry("two"))
    machine.step(EntryHostsSeen(near=9, all=9), now=0.0)
    declare(machine, TWO, at=10.0, now=10.0)
    for name in ("one", "two"):
        report(machine, name, load=15, now=16.5)
    for number in range(20):
        ask(machine, now=15.75 + number / 20, on_time_left=1.0)
    answer = ask(machine, now=16.75, on_time_left=1.0)
    is_sent = isinstance(answer, Place)
    assert not is_sent or answer.expected <= answer.begin_deadline - 16.75


def test_declaration_is_no_younger_than_the_first_word_of_it():
    """One host sent to old weights for 7 s after all others had stopped.

    Events: the platform turns some hosts away for 9 s; version 2 is declared in the
    first second; the agents hear of it from others and tell it to all entry hosts;
    a host that was turned away reads it on its return and dates it from there, since
    it takes the platform to have been away for all.
    Cause: an agent's word of a version that the platform has not told yet is dropped,
    and with it the proof that it was declared before that word came.
    """
    machine = fleet(entry("one"))
    agent_says(machine, declared_at=10.5, now=11.0)
    declare(machine, TWO, at=19.0, now=19.1)
    agent_says(machine, declared_at=10.5, now=19.2)
    assert isinstance(place(machine, now=19.3), Decline)


def test_version_that_only_agents_tell_binds_as_well():
    """A host that the platform turned away sent to old weights until it returned.

    Events: as above, and the bound passes before the host is heard again; requests
    without a key are still served there. Cause: the same word is dropped.
    """
    machine = fleet(entry("one"))
    for now in (11.0, 15.0, 19.0):
        agent_says(machine, declared_at=10.5, now=now)
    assert isinstance(place(machine, now=19.0), Decline)


def test_old_weights_answer_what_begins_before_its_withdrawal():
    """A whole fleet stood idle for 1.2 s before each bound of old weights.

    Symptom: requests are refused for want of weights while engines that may still
    begin them empty; the credit of these two seconds is 0.13 of what is owed.
    Events: version 2 is declared, no engine has it yet; 0.95 s before the bound and
    twice the expected time to the first token nothing more is sent to version 1.
    Cause: what is kept for a request that begins late is kept twice, once before the
    send and once by the withdrawal.
    """
    machine = fleet(entry("old"))
    declare(machine, TWO, at=10.0, now=10.0)
    assert isinstance(place(machine, now=17.3), Place)


def test_newer_weights_go_first_near_the_bound_of_older_ones():
    """There a request that begins later than expected is withdrawn for nothing."""
    machine = fleet(entry("old"), entry("new", weights_version=2))
    declare(machine, TWO, at=10.0, now=10.0)
    report(machine, "old", load=0, now=17.3)
    report(machine, "new", load=9, version=2, now=17.3)
    answers = [ask(machine, now=17.3) for _ in range(20)]
    assert {answer.endpoint_id for answer in answers} == {"new"}


def test_later_moment_of_an_agent_counts_where_the_platform_told_first():
    """One host refused for 7 s what old weights might still answer.

    Events: a host stands still for seconds; on waking it reads a version, and knows of
    it only that it was not declared before it stood still; agents tell it a later
    moment, of hosts that heard of it at once.
    Cause: an agent's word was taken only where the platform told no moment at all.
    """
    machine = fleet(entry("one"))
    declare(machine, TWO, at=2.0, now=10.1)
    assert isinstance(place(machine, now=10.2), Decline)
    agent_says(machine, declared_at=9.8, now=10.3)
    found = place(machine, now=10.4)
    assert found.begin_deadline == 9.8 + 8.0 - WITHDRAW_MARGIN

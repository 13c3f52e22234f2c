"""What one choice among many endpoints costs, counted in steps."""

import sys
from dataclasses import replace

import pytest

from hawthornspoke.catalog import DeclaredVersions, Incarnation
from hawthornspoke.placing import (
    AgentLost,
    EndpointsListed,
    EngineReported,
    Place,
    _choice,
)
from hawthornspoke.placing.tests.test_fleet import ask, entry, fleet

ENDPOINTS = 60


def start(number):
    """Return a known start."""
    return Incarnation(started_ms=1000 + number)


def reported(number, *, load=0, incarnation=None):
    """Return what an agent tells of its engine."""
    return EngineReported(
        address=f"e{number}:1",
        load=load,
        weights_version=1,
        layers=(0, 16),
        model="m",
        declared=((1, 0.0),),
        incarnation=incarnation or start(number),
    )


def known_fleet():
    """Return a machine whose endpoints the list and all agents have told."""
    machine = fleet(
        *(entry(f"e{number}", incarnation=start(number)) for number in range(ENDPOINTS))
    )
    for number in range(ENDPOINTS):
        machine.step(reported(number, load=number % 14), now=1.0)
    return machine


def counted(monkeypatch, kind, name):
    """Return a list that grows with each call of a method."""
    calls = []
    real = getattr(kind, name)

    def counting(self, *args, **kwargs):
        calls.append(name)
        return real(self, *args, **kwargs)

    monkeypatch.setattr(kind, name, counting)
    return calls


def test_choice_compares_no_starts(monkeypatch):
    """An entry host's processor time grows with each fact that a choice looks at.

    Symptom: 1.0 ms for one choice among 60 engines, a third of it spent on whether
    the agent's word is about the start that holds. Sequence: each of seven looks at
    an endpoint asks that anew, at each request. Cause: the answer changes only with
    a word of the list or of an agent, and was kept nowhere. Figure: 421 comparisons
    a choice before, none after.
    """
    machine = known_fleet()
    calls = counted(monkeypatch, Incarnation, "differs_from")
    assert isinstance(ask(machine), Place)
    assert len(calls) == 0


def test_choice_asks_until_when_a_version_may_answer_once_a_version(monkeypatch):
    """The same, of the moment until which a version may answer.

    Sequence: it is found anew for each endpoint, twice. Cause: it depends on the
    moment only, and no engine that holds the newest version can begin too late.
    Figure: 120 times a choice before, once after.
    """
    machine = known_fleet()
    calls = counted(monkeypatch, DeclaredVersions, "too_old_at")
    assert isinstance(ask(machine), Place)
    assert len(calls) == 1


def test_choice_takes_few_steps_an_endpoint():
    """Calls of our own functions in one choice, since times differ by machine.

    Figure: 91 an endpoint before, 32 after.
    """
    machine = known_fleet()
    calls = []

    def note(frame, event, argument):
        if event == "call":
            calls.append(frame.f_code.co_name)

    before = sys.getprofile()
    sys.setprofile(note)
    try:
        ask(machine)
    finally:
        sys.setprofile(before)
    assert len(calls) / ENDPOINTS < 35


def test_choice_leaves_other_failure_domains_alone_while_the_own_has_room(monkeypatch):
    """An entry host's processor time grew with the engines of all failure domains.

    Symptom: 1.3 to 1.8 ms a choice among 150 engines in five failure domains, a third
    of what the process does. Sequence: each request works out the time to the first
    token at each engine, and sorts them all; one of the own failure domain is taken.
    Cause: the others were looked at before it was known whether they are needed.
    Figure: 150 of these times a choice before, 30 after; 0.5 ms.
    """
    entries = [entry(f"e{number}", domain="abcde"[number % 5]) for number in range(150)]
    machine = fleet(*entries)
    worked_out = []
    real = _choice.expected_first_token

    def counting(endpoint, *args, **kwargs):
        worked_out.append(endpoint.entry.failure_domain)
        return real(endpoint, *args, **kwargs)

    monkeypatch.setattr(_choice, "expected_first_token", counting)
    assert isinstance(ask(machine), Place)
    assert worked_out == ["a"] * 30


def test_other_failure_domains_are_asked_once_the_own_is_full():
    entries = [entry(f"e{number}", domain="ab"[number % 2]) for number in range(6)]
    machine = fleet(*entries)
    for number in range(0, 6, 2):
        machine.step(reported(number, load=60), now=1.0)
    place = ask(machine)
    assert isinstance(place, Place)
    assert int(place.endpoint_id[1:]) % 2 == 1


WORDS = {
    "nothing": None,
    "agent lost": AgentLost(address="e0:1"),
    "list tells another start": EndpointsListed(
        entries=(entry("e0", incarnation=start(7)),)
    ),
    "list tells another version and layers": EndpointsListed(
        entries=(entry("e0", weights_version=2, layers=(0, 8), incarnation=start(0)),)
    ),
    "list tells another address": EndpointsListed(
        entries=(entry("e0", address="elsewhere:1", weights_version=2),)
    ),
    "agent tells another start": reported(0, incarnation=start(7)),
    "agent tells that it loads": replace(reported(0), loading=True, pace=2.0),
}


@pytest.mark.parametrize("before", WORDS)
@pytest.mark.parametrize("after", WORDS)
def test_what_is_kept_of_an_endpoint_follows_each_word(before, after):
    """What is kept is what comes out of the two words as they are now.

    Sequence: a word changes, and what was found from the one before stays. Then
    requests go to weights that are gone, or to none though there are some.
    """
    machine = known_fleet()
    for name in (before, after):
        if WORDS[name] is not None:
            machine.step(WORDS[name], now=1.0)
    endpoint = machine.endpoint_by_id["e0"]
    held, word, listed = endpoint.incarnation, endpoint.state, endpoint.entry
    if word is not None and held.differs_from(word.incarnation):
        word = None
    if word is None and held.differs_from(listed.incarnation):
        expected = (None, None, None, False, 1.0)
    elif word is None:
        expected = (None, listed.weights_version, listed.layers, False, 1.0)
    else:
        expected = (word, word.weights_version, word.layers, word.loading, word.pace)
    assert expected == (
        endpoint.current_state,
        endpoint.weights_version,
        endpoint.layers,
        endpoint.loading,
        endpoint.pace,
    )

"""Requests with suspected features, which are sent one at a time."""

from hawthornspoke.quarantine import (
    EVIDENCE_LIFETIME,
    Blocked,
    EndpointEnded,
    EvidenceExchange,
    EvidenceReceived,
    EvidenceUpdate,
    Isolated,
    Quarantine,
    Quarantined,
    RequestCompleted,
    RetrialClaimed,
    RetrialGranted,
    StreamContinued,
    Suspected,
)
from hawthornspoke.quarantine._answers import ANSWER_LIFETIME
from hawthornspoke.quarantine._trials import (
    DOUBTFUL_RETRIAL_DELAY,
    LEADER_DELAY,
    RETRIAL_DELAY,
    TIE_DELAY,
    TRIAL_INTERVAL,
    TRIAL_TIMEOUT,
)

DEAD, COMMON = "part:dead", "part:a1"


def end(machine, incarnation_id, *features, now):
    message = EndpointEnded(
        incarnation_id=incarnation_id, fingerprints=features, other_endpoints_in_use=9
    )
    return machine.step(message, now=now)


def suspect(machine, *features, count=3, now=0.0):
    """End endpoints that run requests with some features."""
    outcomes = []
    for number in range(count):
        outcomes += end(machine, f"e{now + number}", *features, now=now + number)
    return outcomes


def complete(machine, *shared, now):
    message = RequestCompleted(fingerprint="f" * 24, shared=shared)
    return machine.step(message, now=now)


def claim(machine, agent, feature, *, now):
    """Claim a retrial; return whether it was granted."""
    (answer,) = agent.step(
        RetrialClaimed(known=machine.retrial(feature, now=now)), now=now
    )
    if isinstance(answer, RetrialGranted):
        machine.step(answer, now=now)
        return True
    return False


def test_requests_with_the_only_suspect_are_refused():
    machine = Quarantine()
    outcomes = suspect(machine, DEAD)
    assert any(isinstance(outcome, Quarantined) for outcome in outcomes)
    assert isinstance(machine.verdict((COMMON, DEAD), now=3.0), Blocked)
    assert machine.verdict((COMMON,), now=3.0) is None


def test_suspects_that_nothing_tells_apart_run_one_at_a_time():
    """Guards against refusing a sound part that always comes with the crashing one."""
    machine = Quarantine()
    outcomes = suspect(machine, DEAD, COMMON)
    (suspected,) = (item for item in outcomes if isinstance(item, Suspected))
    assert suspected.fingerprints == (COMMON, DEAD)
    now = 2.0 + TIE_DELAY
    assert isinstance(machine.verdict((DEAD, COMMON), now=now), Blocked)
    verdict = machine.verdict((COMMON,), now=now)
    assert isinstance(verdict, Isolated) and verdict.free_at <= now
    machine.begin_trial(verdict.features, now=now)
    assert machine.verdict((COMMON,), now=now).free_at >= now + TRIAL_TIMEOUT
    complete(machine, COMMON, now=now + 1.0)
    machine.end_trial()
    assert machine.verdict((COMMON,), now=now + 1.0) is None
    assert isinstance(machine.verdict((DEAD,), now=now + 1.0), Blocked)


def test_crash_of_an_isolated_request_tells_suspects_apart():
    machine = Quarantine()
    suspect(machine, DEAD, COMMON)
    end(machine, "e9", DEAD, now=4.0)
    assert isinstance(machine.verdict((DEAD,), now=4.0), Blocked)
    assert machine.verdict((COMMON,), now=4.0) is None


def test_requests_with_the_most_suspected_feature_wait_longer():
    machine = Quarantine()
    suspect(machine, DEAD, COMMON, count=4)
    end(machine, "e9", DEAD, now=4.0)
    assert machine.verdict((DEAD,), now=5.0).free_at >= 2.0 + LEADER_DELAY
    assert machine.verdict((COMMON,), now=5.0).free_at == 5.0


def test_hosts_send_isolated_requests_in_turn():
    """Guards against one isolated request at each host in the same moment."""
    hosts = 10
    starts = []
    for number in range(hosts):
        machine = Quarantine(phase=number / hosts, hosts=hosts)
        suspect(machine, DEAD, COMMON)
        starts.append(machine.verdict((COMMON,), now=10.0).free_at)
    starts.sort()
    gaps = [later - first for first, later in zip(starts, starts[1:], strict=False)]
    assert min(gaps) >= TRIAL_INTERVAL - 1e-6


def test_agent_grants_a_turn_to_the_first_host_that_has_a_request():
    """Guards against sound requests that wait for the window of their host."""
    hosts = [Quarantine(phase=number / 10, hosts=10) for number in range(10)]
    agent = EvidenceExchange()
    for machine in hosts:
        suspect(machine, DEAD, COMMON)
    now = 2.0 + TIE_DELAY
    waiting = [
        machine
        for machine in hosts
        if machine.verdict((COMMON,), now=now).free_at > now
    ]
    assert len(waiting) == 9
    assert all(machine.verdict((COMMON,), now=now).is_due for machine in waiting)
    granted = [machine for machine in waiting if claim(machine, agent, COMMON, now=now)]
    assert granted == waiting[:1]
    verdict = granted[0].verdict((COMMON,), now=now)
    assert verdict.free_at <= now and verdict.reason == "granted_turn"
    (retrial,) = granted[0].begin_trial(verdict.features, now=now)
    for machine in hosts:
        machine.step(EvidenceReceived(items=(retrial,)), now=now)
        assert not machine.verdict((COMMON,), now=now + TRIAL_TIMEOUT).is_due


def test_part_that_was_answered_is_isolated_before_it_is_refused():
    """Guards against refusing a popular part that was beside other crashes."""
    machine = Quarantine()
    complete(machine, COMMON, now=0.0)
    suspect(machine, COMMON, now=1.0)
    assert isinstance(machine.verdict((COMMON,), now=4.0), Isolated)
    suspect(machine, COMMON, count=2, now=5.0)
    assert isinstance(machine.verdict((COMMON,), now=7.0), Blocked)


def test_stream_that_goes_on_clears_only_its_shared_features():
    """Guards against clearing whole requests, which may crash endpoints later."""
    machine = Quarantine()
    whole = "f" * 24
    suspect(machine, whole, COMMON, count=5)
    machine.step(StreamContinued(shared=(COMMON,)), now=6.0)
    assert machine.verdict((COMMON,), now=6.0) is None
    assert isinstance(machine.verdict((whole,), now=6.0), Blocked)


def test_answer_of_long_ago_is_no_reason_to_isolate():
    machine = Quarantine()
    complete(machine, COMMON, now=0.0)
    suspect(machine, COMMON, now=ANSWER_LIFETIME + 1.0)
    assert isinstance(machine.verdict((COMMON,), now=ANSWER_LIFETIME + 4.0), Blocked)


def test_quarantined_part_is_tried_again_by_few_requests_of_all_hosts():
    """Guards against a part that stays refused though its fault has been mended."""
    hosts = [Quarantine(phase=number / 10, hosts=10) for number in range(10)]
    agent = EvidenceExchange()
    for machine in hosts:
        suspect(machine, DEAD)
    sent = 0
    for tick in range(int(4 * RETRIAL_DELAY / 0.1)):
        now = 3.0 + 0.1 * tick
        for machine in hosts:
            verdict = machine.verdict((DEAD,), now=now)
            if isinstance(verdict, Blocked) and verdict.is_due:
                claim(machine, agent, DEAD, now=now)
                verdict = machine.verdict((DEAD,), now=now)
            if isinstance(verdict, Isolated) and verdict.free_at <= now:
                retrials = machine.begin_trial(verdict.features, now=now)
                agent.step(EvidenceReceived(items=tuple(retrials)), now=now + 0.05)
                sent += 1
                news = [
                    item
                    for outcome in end(machine, f"t{sent}", DEAD, now=now)
                    if isinstance(outcome, EvidenceUpdate)
                    for item in outcome.items
                ]
                for other in hosts:
                    other.step(EvidenceReceived(items=tuple(news)), now=now + 0.1)
    assert 1 <= sent <= 3


def test_retrials_stay_few_for_as_long_as_evidence_lasts():
    """Guards against a part that is tried more than three times by all hosts."""
    machine, agent = Quarantine(), EvidenceExchange()
    suspect(machine, DEAD)
    sent_at = []
    for now in range(3, int(EVIDENCE_LIFETIME)):
        if not machine.verdict((DEAD,), now=float(now)).is_due:
            continue
        assert claim(machine, agent, DEAD, now=float(now))
        machine.begin_trial((DEAD,), now=float(now))
        sent_at.append(now)
        end(machine, f"t{now}", DEAD, now=now + 0.1)
    assert 1 <= len(sent_at) <= 3


def test_answer_of_a_retrial_ends_the_quarantine():
    machine = Quarantine()
    suspect(machine, DEAD)
    now = 3.0 + 2 * RETRIAL_DELAY
    assert machine.verdict((DEAD,), now=now).is_due
    assert claim(machine, EvidenceExchange(), DEAD, now=now)
    assert isinstance(machine.verdict((DEAD,), now=now), Isolated)
    complete(machine, DEAD, now=now + 1.0)
    assert machine.verdict((DEAD,), now=now + 1.0) is None


def test_doubtful_part_is_tried_again_soon():
    """Guards against a common part that stays refused beside several causes."""
    machine = Quarantine()
    suspect(machine, COMMON)
    end(machine, "x1", "other-request", now=2.0)
    assert isinstance(machine.verdict((COMMON,), now=2.5), Blocked)
    now = 2.0 + DOUBTFUL_RETRIAL_DELAY
    assert machine.verdict((COMMON,), now=now).is_due
    assert claim(machine, EvidenceExchange(), COMMON, now=now)
    assert isinstance(machine.verdict((COMMON,), now=now), Isolated)


def test_part_that_explains_all_ends_is_not_tried_again_soon():
    """Guards against further crashes by the part that is known to cause them."""
    machine = Quarantine()
    suspect(machine, DEAD)
    verdict = machine.verdict((DEAD,), now=RETRIAL_DELAY)
    assert isinstance(verdict, Blocked) and not verdict.is_due


def test_doubt_that_a_retrial_has_settled_is_not_raised_again():
    """Guards against one more crash for each end that has another cause."""
    machine = Quarantine()
    suspect(machine, DEAD)
    end(machine, "x1", "other-request", now=2.5)
    assert claim(machine, EvidenceExchange(), DEAD, now=3.5)
    machine.begin_trial((DEAD,), now=3.5)
    end(machine, "t1", DEAD, now=3.6)
    for number in range(20):
        now = 4.0 + number
        end(machine, f"y{number}", "another-request", now=now)
        verdict = machine.verdict((DEAD,), now=now + DOUBTFUL_RETRIAL_DELAY)
        assert isinstance(verdict, Blocked) and not verdict.is_due


def test_agent_grants_a_retrial_to_one_host_at_a_time():
    """Guards against a retrial by each host, as all find it due at once."""
    agent = EvidenceExchange()
    hosts = [Quarantine() for _ in range(3)]
    assert [claim(host, agent, DEAD, now=1.0) for host in hosts] == [True, False, False]


def test_restarted_agent_denies_what_a_claim_shows_to_be_outdated():
    """Guards against agents that grant anew what they have forgotten."""
    agent, informed, outdated = EvidenceExchange(), Quarantine(), Quarantine()
    suspect(informed, DEAD)
    now = 3.0 + RETRIAL_DELAY
    assert claim(informed, EvidenceExchange(), DEAD, now=now)
    informed.begin_trial((DEAD,), now=now)
    later = now + 5 * RETRIAL_DELAY
    assert claim(informed, agent, DEAD, now=later)
    assert not claim(outdated, agent, DEAD, now=later + 10.0)


def test_answer_allows_a_doubtful_retrial_again():
    """Guards against a common part that stays refused after its second mass end."""
    machine, agent = Quarantine(), EvidenceExchange()
    for first in (0.0, 20.0):
        suspect(machine, COMMON, now=first)
        end(machine, f"x{first}", "other-request", now=first + 2.0)
        now = first + 2.0 + DOUBTFUL_RETRIAL_DELAY
        assert machine.verdict((COMMON,), now=now).is_due
        assert claim(machine, agent, COMMON, now=now)
        retrials = machine.begin_trial((COMMON,), now=now)
        complete(machine, COMMON, now=now + 0.5)
        machine.end_trial()
        agent.step(EvidenceReceived(items=tuple(retrials)), now=now + 0.6)
        assert machine.verdict((COMMON,), now=now + 1.0) is None
        # ``complete`` makes the part one that was answered not long ago.
        machine._answers.__init__()

"""An agent asks its engine for the slowdown by other work on their host."""

import asyncio

from hawthornspoke.base import Failure
from hawthornspoke.catalog import Incarnation
from hawthornspoke.metrics import Metrics
from hawthornspoke.spread import ENGINE_UNREACHABLE, _contention
from hawthornspoke.spread._contention import CHECK_TICKS, MAX_MISSES, ContentionWatch
from hawthornspoke.spread.tests.test_checks_after_suspension import Suspension
from hawthornspoke.spread.tests.test_frames import make_agent

NO_RESPONSE = Failure(code="no_response")


class FakeEngine:
    """Answers health checks with the given slowdowns, and the last one from then on."""

    def __init__(self, *slowdowns):
        self.slowdowns = list(slowdowns)
        self.paths = []

    async def slowdown(self, path):
        self.paths.append(path)
        return self.slowdowns.pop(0) if len(self.slowdowns) > 1 else self.slowdowns[0]


class RecordingLog:
    """Keeps the names of the events."""

    def __init__(self):
        self.events = []

    def change(self, event, **fields):
        self.events.append(event)


class FakeTicks:
    """Ends the watch after a number of checks."""

    def __init__(self, checks):
        self.checks = checks

    async def next(self, count=1):
        assert count == CHECK_TICKS
        self.checks -= 1
        if self.checks < 0:
            raise asyncio.CancelledError


def watch(engine, *, checks, path="/health"):
    """Run a watch for a number of checks; return it and the number of changes."""
    changes = []
    watched = ContentionWatch(
        engine=engine,
        log=RecordingLog(),
        metrics=Metrics(),
        on_changed=lambda: changes.append(1),
    )
    watched.set_path(path)
    try:
        asyncio.run(watched.run(FakeTicks(checks)))
    except asyncio.CancelledError:
        pass
    return watched, len(changes)


def test_engine_is_not_asked_before_an_entry_host_names_the_path():
    engine = FakeEngine(1.0)
    watch(engine, checks=5, path=None)
    assert engine.paths == []


def test_each_change_is_reported_once():
    watched, changes = watch(FakeEngine(1.0, 1.0, 2.5, 2.5, 1.0), checks=5)
    assert changes == 3
    assert watched.slowdown() == 1.0


def test_engine_that_reports_no_slowdown_is_asked_no_more():
    """Guards against health checks for good of engines that say nothing in them."""
    engine = FakeEngine(None)
    watched, _ = watch(engine, checks=3 * MAX_MISSES)
    assert len(engine.paths) == MAX_MISSES
    assert watched.path is None


def test_failed_checks_end_the_reports(monkeypatch):
    """Guards against a slowdown that is reported long after it was observed."""
    watched, _ = watch(FakeEngine(2.5, NO_RESPONSE), checks=2)
    later = _contention.boottime_clock() + _contention.OBSERVATION_TTL
    monkeypatch.setattr(_contention, "boottime_clock", lambda: later)
    assert watched.slowdown() is None


def test_directive_without_a_path_does_not_end_the_checks():
    watched, _ = watch(FakeEngine(1.0), checks=1)
    watched.set_path(None)
    assert watched.path == "/health"


def test_checks_go_on_after_an_outage_of_the_engine():
    """Guards against a slowdown that is unknown for good after an engine's outage."""
    engine = FakeEngine(1.0, *[ENGINE_UNREACHABLE] * (2 * MAX_MISSES), 2.5)
    watched, _ = watch(engine, checks=2 * MAX_MISSES + 2)
    assert watched.slowdown() == 2.5
    assert watched._log.events.count("contention_check_failed") == 1


def test_path_that_the_engine_does_not_have_is_asked_no_more():
    """Guards against health checks for good at a path that doesn't exist."""
    engine = FakeEngine(NO_RESPONSE)
    watched, _ = watch(engine, checks=3 * MAX_MISSES)
    assert len(engine.paths) == MAX_MISSES
    assert watched._log.events[-1] == "contention_checks_ended"


def test_restarted_engine_is_asked_again():
    """Guards against the slowdown of an engine that is reported for the next one."""
    watched, _ = watch(FakeEngine(2.5), checks=1)
    watched.reset_engine()
    assert watched.slowdown() is None
    watched, _ = watch(FakeEngine(None), checks=MAX_MISSES)
    assert watched.path is None
    watched.reset_engine()
    assert watched.path == "/health"


def test_agent_forgets_the_slowdown_of_an_engine_that_restarted():
    """Guards against a slowdown that is reported as that of the next run."""

    async def scenario():
        agent = await make_agent()
        agent._update_incarnation(Incarnation(started_ms=1_000))
        agent.contention._slowdown = 2.5
        agent.contention._expires_at = _contention.boottime_clock() + 60.0
        assert agent.contention.slowdown() == 2.5
        agent._update_incarnation(Incarnation(started_ms=2_000))
        return agent.contention.slowdown()

    assert asyncio.run(scenario()) is None


def test_slowdown_expires_during_a_suspension(monkeypatch):
    """Guards against a slowdown that is reported long after it was observed."""
    watched, _ = watch(FakeEngine(1.5), checks=1)
    assert watched.slowdown() == 1.5
    Suspension(monkeypatch).seconds += 5.0
    assert watched.slowdown() is None

"""Nothing is sent on a decision that a wait has made old.

Symptom: an entry host took a request 3 ms after it came and sent it to an endpoint
6.6 s after the caller's deadline, when the caller had long left.
Events: an endpoint is chosen; the process stands still for 9 s; it wakes, and all
that is due runs in one turn of the loop: the task goes on before the timer of the
deadline, the caller's close and the news of the platform are seen.
Cause: what a request needs to be sent was looked at when its endpoint was chosen,
and not once more when its bytes were written.

The process stands still before the first send, before that of a retry and before that
of the rest of a stream, each with all that can have changed meanwhile.
"""

import asyncio
import socket
import time

import pytest

from hawthornspoke.base import contact_clock, monotonic
from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.placing import EndpointsListed, EngineReported, WeightsDeclared
from hawthornspoke.relay.tests.endpoint import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    field,
    refuse_as_full,
    reset_connection,
)

#: Seconds that a caller gives; standing still for longer than that is too long.
SHORT_TIMEOUT = 0.4
STALL_TIME = 0.5

#: Time enough for all that is not about time.
LONG_TIMEOUT = 20.0

KEY = "X-Api-Key: k"
KEYS = {"k": "org"}


class StallPoint:
    """Where the process stands still: before which send.

    ``before`` is what the endpoint did that was asked earlier, if there is one.
    """

    def __init__(self, *, route, before=None):
        self.route = route
        self.before = before

    async def stall(self, action, *, timeout=LONG_TIMEOUT):
        """Stand still there; return the answer and what the endpoint got."""
        target = ScriptedEndpoint(events([3]) if self.route == "stream" else answer())
        endpoints = [target]
        if self.before is not None:
            endpoints.insert(0, ScriptedEndpoint(self.before))
        async with RelayHarness(*endpoints, timeout=timeout, keys=KEYS) as harness:
            if self.before is not None:
                harness.fleet.endpoint_by_id["e1"].own_running = 1
                harness.pool.actions.append(None)
            harness.pool.actions.append(lambda: action(harness))
            milliseconds = f"X-Deadline-Ms: {timeout * 1000:.0f}"
            answer_seen = await harness.ask(self.route, extra=[KEY, milliseconds])
            await asyncio.sleep(0.05)
            assert harness.pool.actions == []
            assert harness.handler_errors == []
        return answer_seen, target.requests


def stall_point(name):
    """Return one of the places by its name."""
    return {
        "first": StallPoint(route="once"),
        "retry": StallPoint(route="again", before=refuse_as_full()),
        "retry of what may have run": StallPoint(
            route="again", before=reset_connection()
        ),
        "resume": StallPoint(route="stream", before=events([1, 2], is_complete=False)),
    }[name]


STALL_POINTS = ("first", "retry", "retry of what may have run", "resume")
EXPECTED_STATUSES = {
    "first": {503},
    "retry": {503},
    "retry of what may have run": {502, 504},
    "resume": {200},
}


def check_not_sent(name, action, *, timeout=LONG_TIMEOUT):
    """Stand still at a place; nothing is sent, and the answer says what is true."""

    async def scenario():
        (status, head, _, is_complete), requests = await stall_point(name).stall(
            action, timeout=timeout
        )
        assert requests == []
        assert status in EXPECTED_STATUSES[name]
        if status == 503:
            assert float(field(head, "Retry-After")) > 0
        if status == 200:
            assert not is_complete

    asyncio.run(scenario())


@pytest.mark.parametrize("name", STALL_POINTS)
def test_deadline_that_passed_while_the_process_stood_still(name):
    """Symptom: an endpoint got a request after its caller's deadline."""
    check_not_sent(name, lambda harness: time.sleep(STALL_TIME), timeout=SHORT_TIMEOUT)


@pytest.mark.parametrize("name", STALL_POINTS)
def test_deadline_that_passed_while_the_host_was_suspended(name):
    """The same, and the steady clock did not count the time.

    Cause: the deadline was on the clock that stands still with the host.
    """
    check_not_sent(
        name,
        lambda harness: harness.contact_clock.suspend(STALL_TIME),
        timeout=SHORT_TIMEOUT,
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_key_that_nobody_confirmed_while_the_host_was_suspended(name):
    """Symptom: a request ran with a key 9 s after the platform's last word on it."""
    check_not_sent(name, lambda harness: harness.contact_clock.suspend(5.0))


@pytest.mark.parametrize("name", STALL_POINTS)
def test_key_that_was_taken_away_meanwhile(name):
    """Symptom: a request ran with a key that its host knew to be revoked.

    Events: the wait is that for a connection, or for the endpoint asked before; the
    newer configuration comes in force meanwhile. Cause: the key was looked up once,
    when the request came.
    """
    check_not_sent(
        name,
        lambda harness: harness.handler.set_catalog(
            harness.make_catalog(revision=2, keys={"other": "org"})
        ),
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_key_that_passed_to_another_organisation(name):
    """Symptom: a request ran in the name of an organisation that lost its key."""
    check_not_sent(
        name,
        lambda harness: harness.handler.set_catalog(
            harness.make_catalog(revision=2, keys={"k": "someone"})
        ),
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_route_that_was_taken_away_meanwhile(name):
    """Symptom: a request ran on a route that is no longer there."""
    check_not_sent(
        name,
        lambda harness: harness.handler.set_catalog(
            harness.make_catalog(revision=2, without=("once", "again", "stream"))
        ),
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_route_that_leads_to_another_service_now(name):
    """Symptom: the service of before ran a request after the change was in force."""
    check_not_sent(
        name,
        lambda harness: harness.handler.set_catalog(
            harness.make_catalog(revision=2, service="other")
        ),
    )


def change_endpoints(harness, **changes):
    """Take the platform's list with some endpoints changed."""
    message = EndpointsListed(entries=harness.entries(**changes))
    harness.fleet.step(message, now=monotonic())


def last(harness):
    """Return the number of the endpoint that would be sent to."""
    return len(harness.endpoints) - 1


@pytest.mark.parametrize("name", STALL_POINTS)
def test_endpoint_that_leaves_meanwhile(name):
    """Symptom: an endpoint that leaves got a request seconds after that was known."""
    check_not_sent(
        name, lambda harness: change_endpoints(harness, leaving=[last(harness)])
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_endpoint_that_is_gone_meanwhile(name):
    """Symptom: a request was sent to an endpoint that the list no longer has."""
    check_not_sent(
        name, lambda harness: change_endpoints(harness, gone=[last(harness)])
    )


@pytest.mark.parametrize("name", STALL_POINTS)
def test_weights_that_became_too_old_meanwhile(name):
    """Symptom: a request began on weights 6 s after their bound."""

    def declare(harness):
        declared = DeclaredWeights(model="m", version=2)
        message = WeightsDeclared(declared=declared, at=contact_clock() - 20)
        harness.fleet.step(message, now=monotonic())

    check_not_sent(name, declare)


@pytest.mark.parametrize("name", STALL_POINTS)
def test_engine_that_takes_up_other_weights_meanwhile(name):
    """Symptom: a request waited at an engine that had been told to load."""

    def report(harness):
        number = last(harness)
        message = EngineReported(
            address=harness.addresses[number],
            load=0,
            weights_version=1,
            layers=(0, 16),
            loading=True,
            model="m",
        )
        harness.fleet.step(message, now=monotonic())

    check_not_sent(name, report)


@pytest.mark.parametrize("name", STALL_POINTS)
def test_caller_that_left_while_the_process_stood_still(name):
    """Symptom: endpoints worked seconds later for callers that had long left.

    Events: the caller closes while the process stands still; the close waits in the
    socket when the task goes on. Cause: a close was only noticed by the loop.
    """

    async def scenario():
        where = stall_point(name)
        target = ScriptedEndpoint()
        endpoints = [target]
        if where.before is not None:
            endpoints.insert(0, ScriptedEndpoint(where.before))
        async with RelayHarness(*endpoints, timeout=LONG_TIMEOUT, keys=KEYS) as harness:
            if where.before is not None:
                harness.fleet.endpoint_by_id["e1"].own_running = 1
                harness.pool.actions.append(None)
            caller = harness.call(where.route, extra=[KEY])
            harness.pool.actions.append(caller.close)
            await asyncio.sleep(0.2)
            assert harness.pool.actions == []
            assert target.requests == []
            assert harness.server.running() == 0

    asyncio.run(scenario())


def test_caller_that_left_before_its_request_was_looked_at():
    """The same, and the process stood still between reading and handling."""

    async def scenario():
        target = ScriptedEndpoint()
        async with RelayHarness(target, timeout=LONG_TIMEOUT) as harness:
            # A connection is there already, so that the send needs no further turn.
            assert (await harness.ask("once"))[0] == 200
            caller = harness.call("once")

            async def late(request, reply):
                caller.close()
                await harness.handler(request, reply)

            harness.server.handler = late
            await asyncio.sleep(0.2)
            assert len(target.requests) == 1

    asyncio.run(scenario())


def test_request_read_before_the_host_was_suspended():
    """The same, and the host was suspended meanwhile: only one clock tells."""

    async def scenario():
        target = ScriptedEndpoint()
        async with RelayHarness(target, timeout=SHORT_TIMEOUT) as harness:

            async def late(request, reply):
                harness.contact_clock.suspend(STALL_TIME)
                await harness.handler(request, reply)

            harness.server.handler = late
            status, _, _, _ = await harness.ask("once")
            assert status == 503
            assert target.requests == []

    asyncio.run(scenario())


def test_another_endpoint_is_asked_where_only_the_endpoint_changed():
    """A request that only lost its endpoint still runs, once."""

    async def scenario():
        first, second = ScriptedEndpoint(), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            harness.pool.actions.append(lambda: change_endpoints(harness, leaving=[0]))
            status, _, _, _ = await harness.ask("once")
            assert status == 200
            assert (first.requests, len(second.requests)) == ([], 1)

    asyncio.run(scenario())


def test_endpoint_that_closed_the_connection_meanwhile():
    """Symptom: a request that was never sent was answered as one that may have run.

    Events: a connection is made; the process stands still; the endpoint closes it, and
    the loop has taken note before the task goes on. Cause: the bytes were written to
    a connection that is no more, and counted as sent.
    """

    async def scenario():
        first, second = ScriptedEndpoint(), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1

            def close():
                harness.pool.last.abort()
                harness.pool.last.connection_lost(None)

            harness.pool.actions.append(close)
            status, _, _, _ = await harness.ask("once")
            assert status == 200
            assert (first.requests, len(second.requests)) == ([], 1)

    asyncio.run(scenario())


def test_endpoint_that_closed_the_connection_unseen():
    """The same, and the loop has yet to see it, as with callers.

    Events: a connection is kept; the process stands still; the endpoint closes it for
    its idleness; on waking the task goes on before the loop reads the end of it.
    Cause: the caller's socket is looked at directly before the write, the endpoint's
    is not.
    """

    async def scenario():
        kept = []

        async def keeps(endpoint, head, writer):
            kept.append(writer.get_extra_info("socket"))
            await answer()(endpoint, head, writer)

        first, second = ScriptedEndpoint(keeps), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            assert (await harness.ask("once"))[0] == 200
            harness.pool.actions.append(lambda: kept[0].shutdown(socket.SHUT_RDWR))
            status, _, _, _ = await harness.ask("once")
            assert (len(first.requests), len(second.requests)) == (1, 1)
            assert status == 200

    asyncio.run(scenario())


def test_time_that_an_endpoint_is_given_counts_the_suspension():
    """Symptom: endpoints were told that callers wait for seconds longer than they do.

    Events: the host is suspended for half of a caller's time. Cause: what is left was
    counted on the clock that stands still with the host.
    """

    async def scenario():
        target = ScriptedEndpoint()
        async with RelayHarness(target, timeout=2.0) as harness:
            harness.pool.actions.append(lambda: harness.contact_clock.suspend(1.5))
            assert (await harness.ask("once"))[0] == 200
            raw, _ = target.requests[0]
            assert int(field(raw, "X-Deadline-Ms")) <= 500

    asyncio.run(scenario())

"""Attempts that are withdrawn while their answers wait to be read."""

import asyncio
import socket
import time
from types import SimpleNamespace

from hawthornspoke.base import boottime_clock, monotonic
from hawthornspoke.catalog import UNKNOWN_START
from hawthornspoke.httpio import ConnectionPool
from hawthornspoke.httpio._exchange import Exchange
from hawthornspoke.httpio._message import Response
from hawthornspoke.relay._dialect import HeaderNames
from hawthornspoke.relay._suspects import QUARANTINED
from hawthornspoke.relay._timers import Timers
from hawthornspoke.relay._try import NOT_RUN, WITHDRAWN, Attempt

#: Seconds from sending a request until it is withdrawn unless it has started.
START_TIME = 0.05


class Connection:
    """Connection that has sent a request."""

    def __init__(self):
        self.exchange = Exchange(expected_id="r1")
        self.is_aborted = False

    def is_socket_closed(self):
        """Return False."""
        return False

    def send(self, data, *, expected_id, account, is_bodiless):
        """Return the exchange."""
        return self.exchange

    def abort(self):
        """Record the end."""
        self.is_aborted = True

    def resume_reading(self):
        """Do nothing."""

    def release(self, *, idle_since):
        """Return False, as the connection can't be reused."""
        return False


def start_attempt(*, start_deadline=None):
    """Return an attempt whose request was sent, and its connection."""
    attempt = Attempt(
        placement=SimpleNamespace(
            endpoint_id="e1",
            incarnation=UNKNOWN_START,
            start_deadline=start_deadline,
            weights_version=1,
        ),
        pool=ConnectionPool(),
        fleet=SimpleNamespace(
            step=lambda message, *, now: [], suspected_ids=frozenset()
        ),
        header_names=HeaderNames(),
        timers=Timers(clock=boottime_clock),
        on_head=lambda attempt: None,
        on_broken=lambda attempt: None,
        on_ended=lambda attempt: None,
        on_trust_changed=lambda change: None,
        verify_end=None,
    )
    connection = attempt.connection = Connection()
    attempt.send(b"", expected_id="r1")
    return attempt, connection


async def withdraw_after(receive):
    """Return an attempt that is withdrawn after its answer has arrived."""
    attempt, connection = start_attempt()
    reading = asyncio.create_task(attempt.read_head())
    await asyncio.sleep(0)
    receive(connection.exchange)
    attempt.withdraw(QUARANTINED)
    assert connection.is_aborted
    return attempt, await reading


def test_refusal_that_arrived_before_the_withdrawal_ends_the_attempt():
    """Guards against a fault of the host as a request is quarantined while refused."""

    def receive(exchange):
        refusal = [(HeaderNames().not_run, "1")]
        exchange.receive_head(Response(status=503, headers=refusal))

    _, result = asyncio.run(withdraw_after(receive))
    assert result == NOT_RUN


def test_answer_that_arrived_before_the_withdrawal_is_kept():
    """Guards against a fault of the host as a request is quarantined while answered."""

    async def scenario():
        def receive(exchange):
            exchange.receive_head(Response(status=200, headers=[]))
            exchange.receive_body(b"ok")
            exchange.end()

        attempt, head = await withdraw_after(receive)
        assert head.status == 200
        assert (await attempt.read_whole()).body == b"ok"
        attempt.complete(is_success=True)

    asyncio.run(scenario())


async def expire_beside(receive):
    """Return an attempt that expires while this process stands still, and its result.

    Afterwards the event loop finds the answer and the expired timer at the same time.
    """
    attempt, connection = start_attempt(start_deadline=monotonic() + START_TIME)
    reading = asyncio.create_task(attempt.read_head())
    await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    received, sent = socket.socketpair()
    with received, sent:
        loop.add_reader(received, lambda: receive(connection.exchange))
        sent.send(b"x")
        time.sleep(2 * START_TIME)
        try:
            return attempt, connection, await reading
        finally:
            loop.remove_reader(received)


def test_answer_that_arrived_as_the_process_stood_still_is_not_withdrawn():
    """Guards against a 502 for a request that was answered before its weights expired.

    A host stands still until after the withdrawal of the request. Then its timer fires
    in the same pass of the event loop in which the head of the answer is received.
    """

    async def scenario():
        def receive(exchange):
            exchange.receive_head(Response(status=200, headers=[]))

        attempt, connection, head = await expire_beside(receive)
        assert head.status == 200
        assert not connection.is_aborted
        connection.exchange.receive_body(b"ok")
        connection.exchange.end()
        assert (await attempt.read_whole()).body == b"ok"

    asyncio.run(scenario())


def test_refusal_that_arrived_as_the_process_stood_still_proves_no_run():
    """Guards against a 502 for a request that its engine states it has not run."""

    async def scenario():
        def receive(exchange):
            refusal = [(HeaderNames().not_run, "1")]
            exchange.receive_head(Response(status=503, headers=refusal))
            exchange.end()

        _, _, result = await expire_beside(receive)
        assert result == NOT_RUN

    asyncio.run(scenario())


def test_request_without_an_answer_is_withdrawn_after_a_standstill():
    async def scenario():
        attempt, connection, result = await expire_beside(lambda exchange: None)
        assert result == WITHDRAWN
        assert connection.is_aborted

    asyncio.run(scenario())

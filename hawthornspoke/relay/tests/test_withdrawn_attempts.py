"""Attempts that are withdrawn while their answers wait to be read."""

import asyncio
from types import SimpleNamespace

from hawthornspoke.base import boottime_clock
from hawthornspoke.catalog import UNKNOWN_START
from hawthornspoke.httpio import ConnectionPool
from hawthornspoke.httpio._exchange import Exchange
from hawthornspoke.httpio._message import Response
from hawthornspoke.relay._dialect import HeaderNames
from hawthornspoke.relay._suspects import QUARANTINED
from hawthornspoke.relay._timers import Timers
from hawthornspoke.relay._try import NOT_RUN, Attempt


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


async def withdraw_after(receive):
    """Return an attempt that is withdrawn after its answer has arrived."""
    attempt = Attempt(
        placement=SimpleNamespace(
            endpoint_id="e1", incarnation=UNKNOWN_START, start_deadline=None
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

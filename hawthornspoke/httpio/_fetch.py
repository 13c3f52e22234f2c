"""Small whole calls on kept connections."""

import asyncio

from hawthornspoke.base import Failure, contact_clock
from hawthornspoke.httpio._client import (
    BROKEN,
    NOT_SENT,
    ClientConnection,
    encode_request,
)


async def fetch(
    pool,
    address,
    *,
    method,
    target,
    headers=(),
    body=b"",
    timeout,
    hedge_after=None,
):
    """Make one small call and read its whole answer.

    A connection that a router on the way has forgotten stays open and never answers.
    A hedged call is made once more where its answer is overdue, on a new connection:
    without that what the caller knows would be as old as the whole timeout.

    Parameters
    ----------
    pool : ConnectionPool
    address : str
        ``IP:PORT``, also the pool's key.
    method, target : str
    headers : list of (str, str)
    body : bytes
    timeout : float
        Seconds for all of it.
    hedge_after : float or None, default=None
        Seconds after which the call is made once more, None for never. Only for calls
        that may be made twice.

    Returns
    -------
    Response or Failure
        The first response; ``NOT_SENT`` if not a byte has left.
    """
    call = {
        "method": method,
        "target": target,
        "headers": headers,
        "body": body,
        "timeout": timeout,
    }
    first = _fetch_once(pool, address, fresh=False, **call)
    if hedge_after is None:
        return await first
    calls = {asyncio.ensure_future(first)}
    try:
        done, _ = await asyncio.wait(calls, timeout=hedge_after)
        if not done:
            second = _fetch_once(pool, address, fresh=True, **call)
            calls.add(asyncio.ensure_future(second))
        return await _first_response(calls)
    finally:
        for item in calls:
            item.cancel()


async def _first_response(calls):
    """Return the first response of some calls, a Failure if all fail."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        answers = [call.result() for call in done]
        responses = [item for item in answers if not isinstance(item, Failure)]
        if responses or not pending:
            return (responses or answers)[0]


async def _fetch_once(pool, address, *, method, target, headers, body, timeout, fresh):
    deadline = contact_clock() + timeout
    connection = None
    complete = False
    data = encode_request(
        method=method,
        target=target,
        headers=[("Host", address), *headers],
        body=body,
    )
    try:
        async with asyncio.timeout(timeout):
            connection = await pool.acquire(address, address, fresh=fresh)
            if isinstance(connection, Failure):
                return connection
            if contact_clock() >= deadline or not connection.is_open:
                # The process stood still since: this task goes on before the timer
                # of its limit, and an order would be carried out that was decided
                # on what was true seconds ago.
                return NOT_SENT.because(f"{method} {target}: too late")
            answer = await connection.send(data, expected_id=None).read_whole()
            complete = not isinstance(answer, Failure)
            return answer
    except TimeoutError:
        return BROKEN.because(f"{method} {target}: no answer in {timeout:g} s")
    finally:
        if isinstance(connection, ClientConnection):
            if complete:
                pool.put_back(address, connection)
            else:
                connection.abort()

"""Requests over pooled connections whose response is read whole, with hedging."""

import asyncio

from hawthornspoke.base import Failure, StallTolerantTimeout, boottime_clock
from hawthornspoke.httpio._client import (
    CONNECTION_BROKEN,
    NOT_SENT,
    ClientConnection,
)
from hawthornspoke.httpio._exchange import MAX_UNREAD_BYTES
from hawthornspoke.httpio._message import HEAD_METHOD, encode_request


async def fetch(
    pool,
    address,
    *,
    method,
    target,
    headers=(),
    body=b"",
    timeout,
    max_body_bytes=MAX_UNREAD_BYTES,
    hedge_after=None,
):
    """Send one request and read the complete response.

    If a middlebox has lost the state of a connection, it looks open but never gets a
    response. So a hedged request is repeated on a new connection when its response is
    late; otherwise the caller would use outdated information for the whole timeout.

    Parameters
    ----------
    pool : ConnectionPool
    address : str
        ``IP:PORT``, also the key within the pool.
    method, target : str
    headers : list of (str, str)
    body : bytes
    timeout : float
        Seconds for the whole call, including the repeated request.
    max_body_bytes : int, default=MAX_UNREAD_BYTES
        Maximum size of the response's body.
    hedge_after : float or None, default=None
        Seconds after which the request is repeated; None disables hedging. Only for
        idempotent requests.

    Returns
    -------
    Response or Failure
        The first response, or a failure if there is none: ``NOT_SENT`` if the request
        was not sent since the connection had ended or the deadline had passed,
        ``TOO_LARGE`` if the response exceeds a limit.
    """
    call = {
        "method": method,
        "target": target,
        "headers": headers,
        "body": body,
        "timeout": timeout,
        "max_body_bytes": max_body_bytes,
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
    """Return the first successful response, or a Failure if all calls fail."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        answers = [call.result() for call in done]
        responses = [item for item in answers if not isinstance(item, Failure)]
        if responses or not pending:
            return (responses or answers)[0]


async def _fetch_once(
    pool,
    address,
    *,
    method,
    target,
    headers,
    body,
    timeout,
    max_body_bytes,
    fresh,
):
    deadline = boottime_clock() + timeout
    connection = None
    complete = False
    data = encode_request(
        method=method,
        target=target,
        headers=[("Host", address), *headers],
        body=body,
    )
    try:
        async with StallTolerantTimeout(timeout):
            connection = await pool.acquire(address, address, fresh=fresh)
            if isinstance(connection, Failure):
                return connection
            if boottime_clock() >= deadline or not connection.is_open:
                # After the process was suspended, this task can resume before its
                # timeout fires. It would then send a request whose content is based on
                # data that is seconds old.
                return NOT_SENT.with_reason(
                    f"{method} {target}: deadline passed before sending"
                )
            exchange = connection.send(
                data,
                expected_id=None,
                max_unread_bytes=max_body_bytes,
                is_bodiless=method == HEAD_METHOD,
            )
            answer = await exchange.read_whole()
            complete = not isinstance(answer, Failure)
            return answer
    except TimeoutError:
        return CONNECTION_BROKEN.with_reason(
            f"{method} {target}: no response within {timeout:g} s"
        )
    finally:
        if isinstance(connection, ClientConnection):
            if complete:
                pool.return_connection(address, connection)
            else:
                connection.abort()

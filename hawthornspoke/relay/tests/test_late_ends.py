"""Answers without framing whose end is found late, as their caller reads slowly."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    stream_head,
)
from hawthornspoke.relay.tests.test_cut_framing import LAST_CHUNK, read_to_end
from hawthornspoke.relay.tests.test_forward import run_scenario
from hawthornspoke.relay.tests.test_joint_ends import close_all, close_one, echo_probe
from hawthornspoke.relay.tests.test_memory import MB, slow_caller


def long_answer(count, may_end, *, end):
    """Return a step that sends events of 10 kB before its connection is closed.

    Parameters
    ----------
    count : int
    may_end : asyncio.Event
    end : callable
        Called with the endpoint and the writer once the answer may end.
    """

    async def step(endpoint, head, writer):
        writer.write(stream_head(head).replace(b"Transfer-Encoding: chunked\r\n", b""))
        # Another connection is opened beside the answer meanwhile.
        await asyncio.sleep(0.2)
        for number in range(1, count + 1):
            writer.write(b"id: %d\ndata: %b\n\n" % (number, b"x" * 10_000))
        await may_end.wait()
        end(endpoint, writer)
        raise ConnectionError

    return step


async def ask_slowly(step, may_end, *, seconds, is_paused, before_read=None):
    """Return what a caller gets that reads only some time after the answer's end.

    Parameters
    ----------
    step : callable
        Of the endpoint.
    may_end : asyncio.Event
    seconds : float
        From the end until the caller reads.
    is_paused : bool
        Whether the host no longer reads the answer as it ends.
    before_read : callable or None, default=None
        Called with the harness before the caller reads.
    """
    endpoint = ScriptedEndpoint(step, probe_step=echo_probe())
    async with RelayHarness(endpoint, timeout=16.0, memory_limit=400 * MB) as harness:
        caller = slow_caller(harness, "stream", deadline_ms=16000)
        await asyncio.sleep(0.6)
        assert bool(harness.memory.budget.paused) == is_paused
        may_end.set()
        await asyncio.sleep(seconds)
        if before_read is not None:
            before_read(harness)
        return await read_to_end(caller)


def lose_another_connection(harness):
    harness.pool.losses.record("127.0.0.1:1", now=monotonic())


#: Events of an answer by whether the host stops reading it, as the caller reads none.
COUNTS = {False: 60, True: 400}


@pytest.mark.parametrize("seconds", [0.1, 1.0, 6.0])
@pytest.mark.parametrize("is_paused", COUNTS)
def test_answer_closed_with_others_is_not_whole_for_a_slow_caller(is_paused, seconds):
    """Guards against an end that is found, or verified, too late beside others."""

    async def scenario():
        may_end = asyncio.Event()
        step = long_answer(COUNTS[is_paused], may_end, end=close_all)
        raw = await ask_slowly(
            step,
            may_end,
            seconds=seconds,
            is_paused=is_paused,
            before_read=lose_another_connection,
        )
        assert raw.count(b"data: ") > 10
        assert not raw.endswith(LAST_CHUNK)

    run_scenario(scenario)


@pytest.mark.parametrize("seconds", [0.1, 6.0])
@pytest.mark.parametrize("is_paused", COUNTS)
def test_whole_answer_is_whole_for_a_slow_caller(is_paused, seconds):
    """Guards against sound answers that are lost as their callers read slowly."""

    async def scenario():
        may_end = asyncio.Event()
        step = long_answer(COUNTS[is_paused], may_end, end=close_one)
        raw = await ask_slowly(step, may_end, seconds=seconds, is_paused=is_paused)
        assert raw.count(b"data: ") == COUNTS[is_paused]
        assert raw.endswith(LAST_CHUNK)

    run_scenario(scenario)

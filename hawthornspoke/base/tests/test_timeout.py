"""Timeouts of a process that stalls itself."""

import asyncio
import selectors
import time

import pytest

from hawthornspoke.base import StallTolerantTimeout

#: Iterations of the event loop from the end of a stall until an answer is read.
READ_ITERATIONS = 5


async def read_answer():
    """Wait as long as the event loop needs to read what has arrived."""
    for _ in range(READ_ITERATIONS):
        await asyncio.sleep(0)


def test_peer_that_does_not_answer_times_out():
    """Guards against requests that wait forever."""

    async def run():
        async with StallTolerantTimeout(0.1):
            await asyncio.sleep(30.0)

    with pytest.raises(TimeoutError):
        asyncio.run(run())


@pytest.mark.parametrize("stall", [0.2, 0.4, 0.7])
def test_answer_that_arrived_during_a_stall_is_read(stall):
    """Guards against peers that count as failed as this process stalled."""

    async def run():
        async with StallTolerantTimeout(0.3):
            await asyncio.sleep(0.02)
            time.sleep(stall)
            await read_answer()

    asyncio.run(run())


@pytest.mark.parametrize("second_stall", [0.15, 0.19, 0.21, 0.5])
@pytest.mark.parametrize("pause", [0.0, 0.003, 0.02])
def test_answer_is_read_after_a_second_stall(pause, second_stall):
    """Guards against a stall between two looks at the clock.

    A process without enough processor time stalls again before it has read what
    arrived during the first stall. If the second stall ended less than 0.05 s after the
    deadline, no timer was late enough to show it.
    """

    async def run():
        async with StallTolerantTimeout(0.3):
            await asyncio.sleep(0.02)
            time.sleep(0.4)
            await asyncio.sleep(pause)
            time.sleep(second_stall)
            await read_answer()

    asyncio.run(run())


@pytest.mark.parametrize("stall", [0.06, 0.12])
def test_process_that_always_stalls_finds_that_a_peer_does_not_answer(stall):
    """Guards against requests that wait as long as this process lacks time."""

    async def run():
        async with StallTolerantTimeout(0.3):
            for _ in range(100):
                time.sleep(stall)
                await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        asyncio.run(run())


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while it waits, or as a stall."""

    def __init__(self):
        self.now = 0.0
        loop = self

        class Selector(selectors.DefaultSelector):
            def select(self, timeout=None):
                loop.now += timeout or 0.0
                return super().select(0)

        super().__init__(Selector())

    def time(self):
        return self.now


@pytest.mark.parametrize("third_stall", [0.1, 0.3])
@pytest.mark.parametrize("pause", [0.16, 0.19])
def test_answer_that_arrived_during_a_third_stall_is_read(pause, third_stall):
    """Guards against a stall at the deadline that earlier stalls have moved.

    Answers that arrived meanwhile take some iterations of the event loop to be read.
    """

    async def run():
        loop = asyncio.get_running_loop()
        async with StallTolerantTimeout(0.3):
            await asyncio.sleep(0.02)
            for stall in (0.4, 0.1):
                loop.now += stall
                await asyncio.sleep(pause)
            loop.now += third_stall
            await read_answer()

    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(run())

"""Periodic tasks of one process that wake it together."""

import asyncio

from hawthornspoke.base import Ticks


def test_tasks_that_wait_for_a_tick_wake_together():
    """An agent with nothing to do woke 88 times a second.

    Cause: each of its periodic tasks had a timer of its own.
    """

    async def scenario():
        ticks = Ticks(every=0.02)
        loop = asyncio.get_running_loop()
        timers = []
        real = loop.call_later

        def counting(delay, *args, **kwargs):
            timers.append(delay)
            return real(delay, *args, **kwargs)

        loop.call_later = counting
        done = []

        async def work(name):
            for _ in range(3):
                await ticks.next()
                done.append(name)

        await asyncio.gather(*(work(name) for name in "abc"))
        assert sorted(done[:3]) == sorted(done[3:6]) == ["a", "b", "c"]
        assert len(timers) == 3

    asyncio.run(scenario())


def test_task_that_is_cancelled_takes_no_tick_from_the_others():
    async def scenario():
        ticks = Ticks(every=0.02)
        leaving = asyncio.create_task(ticks.next())
        staying = asyncio.create_task(ticks.next(2))
        await asyncio.sleep(0)
        leaving.cancel()
        async with asyncio.timeout(1.0):
            await staying

    asyncio.run(scenario())

"""Periodic tasks of one process that share a timer."""

import asyncio

from hawthornspoke.base import Ticks


def test_tasks_that_wait_for_a_tick_share_one_wakeup():
    """With one timer per periodic task, an idle agent woke up 88 times a second."""

    async def scenario():
        ticks = Ticks(every=0.02)
        loop = asyncio.get_running_loop()
        timers = []
        original_call_later = loop.call_later

        def counting_call_later(delay, *args, **kwargs):
            timers.append(delay)
            return original_call_later(delay, *args, **kwargs)

        loop.call_later = counting_call_later
        wakeups = []

        async def periodic_task(name):
            for _ in range(3):
                await ticks.next()
                wakeups.append(name)

        await asyncio.gather(*(periodic_task(name) for name in "abc"))
        assert sorted(wakeups[:3]) == sorted(wakeups[3:6]) == ["a", "b", "c"]
        assert len(timers) == 3

    asyncio.run(scenario())


def test_cancelled_task_does_not_affect_other_waiters():
    async def scenario():
        ticks = Ticks(every=0.02)
        cancelled = asyncio.create_task(ticks.next())
        other = asyncio.create_task(ticks.next(2))
        await asyncio.sleep(0)
        cancelled.cancel()
        async with asyncio.timeout(1.0):
            await other

    asyncio.run(scenario())

"""Two hosts of a failure domain on loopback: one reads, one asks it."""

import asyncio
import socket

from hawthornspoke.base import Failure, contact_clock
from hawthornspoke.mirror import (
    HISTORY_GONE,
    FollowedTable,
    Neighbours,
    News,
    Row,
    TableWatcher,
)
from hawthornspoke.mirror._neighbours import ANSWER_TIMEOUT, POLL_INTERVAL
from hawthornspoke.mirror._watch import (
    ANSWER_OVERDUE_AFTER,
    FIRST_START_PAUSE,
    NEIGHBOUR_WAIT,
    RETRY_PAUSE,
    WAIT_SPREAD,
)

READER = "127.0.0.1"
ASKER = "127.0.0.2"
THIRD = "127.0.0.3"
DOWN = Failure(code="down")
BIG = b"configuration " * 4000


class Store:
    """A table with one row, and faults."""

    def __init__(self):
        self.revision = 1
        self.data = b"1"
        self.fault = None
        self.calls = 0

    def put(self, data):
        self.revision += 1
        self.data = data

    async def read(self, table):
        self.calls += 1
        if self.fault is not None:
            return await self._fail()
        row = Row(key="k", data=self.data, revision=self.revision)
        return News(rows=[row], revision=self.revision, whole=True)

    async def follow(self, table, *, after, wait):
        deadline = contact_clock() + wait
        while self.fault is None and contact_clock() < deadline:
            if self.revision > after:
                break
            await asyncio.sleep(0.01)
        news = await self.read(table)
        if isinstance(news, News):
            news.rows = [row for row in news.rows if row.revision > after]
            news.whole = False
        return news

    async def _fail(self):
        if self.fault == "silent":
            await asyncio.sleep(2.0)
        return DOWN.because(self.fault)


class Host:
    """A watch, its neighbours and what they told."""

    def __init__(
        self, address, port, store, *, first_start=False, discovery_timeout=0.0
    ):
        self.address = address
        self.port = port
        self.store = store
        self.events = []
        self.seen = []
        self.confirmed = []
        self.lost = []
        self.neighbours = Neighbours(address=address, port=port, log=self)
        self.watch = TableWatcher(
            store=store,
            neighbours=self.neighbours,
            on_confirmed=self.confirmed.append,
            on_lost=self.lost.append,
            first_start=first_start,
            discovery_timeout=discovery_timeout,
        )
        self.task = None

    def change(self, event, **fields):
        self.events.append(event)

    async def start(self, hosts, *, named_after=0.0):
        loop = asyncio.get_running_loop()
        loop.call_later(named_after, self.neighbours.told, "agent", hosts)
        if not named_after:
            self.neighbours.told("agent", hosts)
        await self.neighbours.serve(self.watch)
        table = FollowedTable(
            name="t",
            wait=0.5,
            pause=0.05,
            take=lambda news: self.seen.extend(row.data for row in news.rows),
            confirms_configuration=True,
        )
        self.task = asyncio.get_running_loop().create_task(self.watch.run([table]))

    def stop(self):
        self.task.cancel()
        self.neighbours.close()


def play(scenario):
    """Run a scenario with a reader and an asker, each with a store of its own."""

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        reader = Host(READER, port, Store())
        asker = Host(ASKER, port, Store())
        await reader.start((READER, ASKER))
        await until(lambda: reader.seen)
        await asker.start((READER, ASKER))
        try:
            await scenario(reader, asker)
        finally:
            reader.stop()
            asker.stop()

    asyncio.run(run())


async def until(condition, *, seconds=4.0):
    """Wait until something holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def test_silent_reader_leaves_time_for_what_is_due():
    """A change is due in force two seconds after it was accepted.

    A reader that the platform no longer answers tells so once the answer is overdue,
    one that stands still is given up after its time; then the platform is read.
    """
    confirm_interval, due, read = 1.0, 2.0, 0.4
    assert confirm_interval + ANSWER_OVERDUE_AFTER + POLL_INTERVAL + read < due
    assert NEIGHBOUR_WAIT + ANSWER_TIMEOUT + read < due


def test_asker_hears_changes_and_leaves_the_platform_alone():
    """Configurations were in force 3.3 s late on hosts far from the platform.

    Cause: each host of a region read each of them over the same narrow link.
    """

    async def scenario(reader, asker):
        await until(lambda: asker.seen)
        for number in range(2, 6):
            reader.store.put(f"{number}".encode())
            await until(lambda: asker.seen[-1] == reader.store.data)
        assert asker.store.calls == 0

    play(scenario)


def test_large_rows_arrive_as_they_were():
    async def scenario(reader, asker):
        reader.store.put(BIG)
        await until(lambda: asker.seen and asker.seen[-1] == BIG)

    play(scenario)


def test_asker_never_believes_more_than_its_reader_knows():
    """A revoked key was trusted for longer than it may be.

    Cause: the neighbour's answer was taken as the platform's word of that moment.
    """

    async def scenario(reader, asker):
        await until(lambda: len(asker.confirmed) > 2)
        assert asker.confirmed[-1] <= reader.watch.confirmed_at + 0.01
        assert contact_clock() - asker.confirmed[-1] < 2.0

    play(scenario)


def test_asker_reads_itself_once_its_reader_is_cut_off():
    """Routes were missing on hosts that reached the platform.

    Events: the host that reads for the failure domain was cut off from the
    platform, silently, and a configuration was accepted. Cause: it went on
    answering its neighbours with what it knew.
    """

    async def scenario(reader, asker):
        await until(lambda: asker.seen)
        reader.store.fault = "silent"
        asker.store.put(b"newer")
        await until(lambda: asker.seen[-1] == b"newer")

    play(scenario)


def test_asker_reads_itself_once_its_reader_is_gone():
    async def scenario(reader, asker):
        await until(lambda: asker.seen)
        reader.stop()
        asker.store.put(b"newer")
        await until(lambda: asker.seen[-1] == b"newer")
        assert asker.lost == []

    play(scenario)


def test_host_that_the_platform_refuses_asks_a_neighbour():
    """Keys were refused for nine seconds on hosts whose neighbours knew them.

    Events: the platform turned a third of the hosts away and served the others.
    Cause: each host relied on what it read itself.
    """

    async def scenario(reader, asker):
        await until(lambda: asker.seen)
        reader.store.fault = "refused"
        await until(lambda: "platform_unread" in reader.events)
        asker.store.put(b"newer")
        await until(lambda: reader.seen[-1] == b"newer")
        before = contact_clock()
        await until(lambda: reader.confirmed[-1] > before)

    play(scenario)


def test_reader_goes_on_while_a_host_before_it_is_refused():
    """A failure domain had no configuration for nine seconds.

    Events: the platform turns the first host away, the second reads for the others;
    each three seconds it tries the first one again. Cause: it stopped answering
    before it knew that the first reads again, all others then read the platform, and
    their answers filled the link until none came in time.
    """

    async def scenario(first, second):
        first.store.fault = "refused"
        await until(lambda: "platform_unread" in first.events)
        third = Host(THIRD, second.port, Store())
        everyone = (READER, ASKER, THIRD)
        for host in (first, second):
            host.neighbours.told("agent", everyone)
        await third.start(everyone)
        try:
            await until(lambda: third.seen and second.watch.is_current())
            reads = third.store.calls
            for number in range(8):
                second.store.put(f"{number}".encode())
                await until(lambda: third.seen[-1] == second.store.data)
                await asyncio.sleep(0.5)
            assert third.store.calls == reads
        finally:
            third.stop()

    play(scenario)


def test_history_that_is_gone_again_and_again_floods_nobody():
    """All hosts that read the platform asked it hundreds of times a second.

    Events: the platform has dropped its history and says so to each question for what
    is new; the table is read whole, which it answers; the next question for what is
    new is answered likewise. Cause: the table was read anew at once, each time.
    """

    async def run():
        host = Host(READER, 1, Store())
        whole_reads = []

        async def gone(table, *, after, wait):
            await asyncio.sleep(0.002)
            return HISTORY_GONE

        async def read(table, original=host.store.read):
            whole_reads.append(contact_clock())
            return await original(table)

        host.store.follow, host.store.read = gone, read
        table = FollowedTable(name="t", wait=0.5, pause=0.0, take=host.seen.append)
        following = asyncio.create_task(host.watch.run([table]))
        await asyncio.sleep(1.0)
        following.cancel()
        # The second one comes at once, since a change may be waiting for it.
        assert 2 <= len(whole_reads) <= 2 + 1.0 / RETRY_PAUSE[0]

    asyncio.run(run())


def test_question_that_waits_costs_the_reader_nothing_until_there_is_news():
    """The reader of a large failure domain spent its time on looking for news.

    Symptom: an entry host that reads for nineteen others wakes 800 times a second
    while nothing changes. Sequence: each neighbour asks for each table and waits up
    to a second; the reader looked through the table for each of them every 50 ms.
    Cause: the answer waited by looking, not for the news itself.
    """

    async def scenario(reader, asker):
        looks = []
        changes_since = reader.watch.mirror.changes_since

        def counted(name, after):
            looks.append(contact_clock())
            return changes_since(name, after)

        reader.watch.mirror = Counted(reader.watch.mirror, counted)
        await asyncio.sleep(NEIGHBOUR_WAIT * 2)
        assert len(looks) <= 12, "at most some looks for each question"
        told = len(asker.seen)
        reader.store.put(b"2")
        put_at = contact_clock()
        await until(lambda: len(asker.seen) > told)
        assert contact_clock() < put_at + 0.5

    play(scenario)


class Counted:
    """A mirror whose ``since`` is replaced."""

    def __init__(self, mirror, changes_since):
        self._mirror = mirror
        self.changes_since = changes_since

    def __getattr__(self, name):
        return getattr(self._mirror, name)


def test_host_of_a_first_start_asks_rarely_until_it_knows_its_neighbours():
    """A first start of all hosts cost 13 calls of each entry host.

    Sequence: engines register one after the other; each entry host reads the list for
    itself until an agent tells it who else there is, and asks again shortly after each
    change. Cause: the pause was meant for the one reader of a failure domain.
    """

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        alone = Host(READER, port, Store(), first_start=True)
        await alone.start(())
        for number in range(20):
            alone.store.put(str(number).encode())
            await asyncio.sleep(0.1)
        assert alone.store.calls <= 4
        alone.neighbours.told("agent", (READER,))
        await asyncio.sleep(FIRST_START_PAUSE)
        alone.store.put(b"last")
        await until(lambda: alone.seen[-1] == b"last", seconds=0.3)
        alone.stop()

    asyncio.run(run())


def test_questions_of_hosts_in_step_drift_apart():
    """A declaration was dated 0.6 s too early by every host at once.

    Symptom: old weights are given up half a second before they have to be.
    Events: a change answers the questions of all hosts at the same moment; nothing
    changes for some seconds; then a version is declared just before the next answers.
    Cause: all questions waited equally long, so that they stayed in step.
    """

    async def scenario(reader, asker):
        waits = []
        follow = reader.store.follow

        async def noting(table, *, after, wait):
            waits.append(wait)
            return await follow(table, after=after, wait=wait)

        reader.store.follow = noting
        await until(lambda: len(waits) >= 6, seconds=6.0)
        assert max(waits) <= 0.5
        assert min(waits) >= 0.5 * WAIT_SPREAD[0]
        assert max(waits) - min(waits) > 0.01

    play(scenario)


def test_only_one_host_reads_the_configuration_after_a_mass_restart():
    """Guards against each host reading it over the link between regions."""

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        addresses = (READER, ASKER, THIRD)
        hosts = [
            Host(address, port, Store(), discovery_timeout=0.5) for address in addresses
        ]
        try:
            for host in hosts:
                await host.start(addresses, named_after=0.1)
            await until(lambda: all(host.seen for host in hosts))
        finally:
            for host in hosts:
                host.stop()
        return [host.store.calls for host in hosts if host.address != READER]

    assert asyncio.run(run()) == [0, 0]


def test_host_without_agents_reads_the_configuration_after_the_timeout():
    """Guards against an unbounded wait for neighbours."""

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        lone = Host(READER, port, Store(), discovery_timeout=0.3)
        try:
            await lone.start((), named_after=60.0)
            await until(lambda: lone.seen, seconds=1.0)
        finally:
            lone.stop()

    asyncio.run(run())

"""Hosts of a failure domain on loopback: one reads the platform, others query it."""

import asyncio
import socket

from hawthornspoke.base import Failure, boottime_clock
from hawthornspoke.mirror import (
    HISTORY_GONE,
    FollowedTable,
    Neighbours,
    Row,
    TableUpdate,
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


class FakeStore:
    """A table with one row and injected faults."""

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
        return TableUpdate(rows=[row], revision=self.revision, whole=True)

    async def follow(self, table, *, after, wait):
        deadline = boottime_clock() + wait
        while self.fault is None and boottime_clock() < deadline:
            if self.revision > after:
                break
            await asyncio.sleep(0.01)
        table_update = await self.read(table)
        if isinstance(table_update, TableUpdate):
            table_update.rows = [
                row for row in table_update.rows if row.revision > after
            ]
            table_update.whole = False
        return table_update

    async def _fail(self):
        if self.fault == "silent":
            await asyncio.sleep(2.0)
        return DOWN.with_reason(self.fault)


class WatchingHost:
    """A table watcher with its neighbours, recording rows and events."""

    def __init__(
        self,
        address,
        port,
        store,
        *,
        first_start=False,
        discovery_timeout=0.0,
        earliest_arrival=boottime_clock,
    ):
        self.address = address
        self.port = port
        self.store = store
        self.events = []
        self.seen = []
        self.updates = []
        self.confirmed = []
        self.lost = []
        self.neighbours = Neighbours(address=address, port=port, log=self)
        self.watch = TableWatcher(
            store=store,
            neighbours=self.neighbours,
            on_confirmed=self.confirmed.append,
            on_lost=self.lost.append,
            log=self,
            first_start=first_start,
            discovery_timeout=discovery_timeout,
            earliest_arrival=earliest_arrival,
        )
        self.task = None

    def change(self, event, **fields):
        self.events.append(event)

    async def start(self, hosts, *, reported_after=0.0):
        loop = asyncio.get_running_loop()
        loop.call_later(
            reported_after, self.neighbours.update_entry_hosts, "agent", hosts
        )
        if not reported_after:
            self.neighbours.update_entry_hosts("agent", hosts)
        await self.neighbours.serve(self.watch)
        table = FollowedTable(
            name="t",
            wait=0.5,
            pause=0.05,
            on_update=self._on_update,
            confirms_configuration=True,
        )
        self.task = asyncio.get_running_loop().create_task(self.watch.run([table]))

    def _on_update(self, table_update):
        self.updates.append(table_update)
        self.seen.extend(row.data for row in table_update.rows)

    def stop(self):
        self.task.cancel()
        self.neighbours.close()


def run_scenario(scenario):
    """Run a scenario with a reader and an asker, each with its own store."""

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        reader = WatchingHost(READER, port, FakeStore())
        asker = WatchingHost(ASKER, port, FakeStore())
        await reader.start((READER, ASKER))
        await wait_until(lambda: reader.seen)
        await asker.start((READER, ASKER))
        try:
            await scenario(reader, asker)
        finally:
            reader.stop()
            asker.stop()

    asyncio.run(run())


async def wait_until(condition, *, seconds=4.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def test_reader_failure_leaves_time_for_a_due_change():
    """A change has to be in force two seconds after it was accepted.

    A reader without answers of the platform reports this once an answer is overdue, and
    a frozen reader is detected by a timeout. In both cases there has to be time left
    for the asker to read the platform.
    """
    confirm_interval, due, read = 1.0, 2.0, 0.4
    assert confirm_interval + ANSWER_OVERDUE_AFTER + POLL_INTERVAL + read < due
    assert NEIGHBOUR_WAIT + ANSWER_TIMEOUT + read < due


def test_asker_gets_changes_without_platform_calls():
    """Guards against each host of a region reading the platform.

    When all read each configuration over the same narrow link, configurations were in
    force 3.3 s late on hosts far from the platform.
    """

    async def scenario(reader, asker):
        await wait_until(lambda: asker.seen)
        for number in range(2, 6):
            reader.store.put(f"{number}".encode())
            await wait_until(lambda: asker.seen[-1] == reader.store.data)
        assert asker.store.calls == 0

    run_scenario(scenario)


def test_large_rows_arrive_unchanged():
    async def scenario(reader, asker):
        reader.store.put(BIG)
        await wait_until(lambda: asker.seen and asker.seen[-1] == BIG)

    run_scenario(scenario)


def test_asker_confirms_no_later_than_its_reader():
    """An answer is confirmed as of the reader's own answer of the platform.

    When it was confirmed as of its arrival, a revoked key was accepted for too long.
    """

    async def scenario(reader, asker):
        await wait_until(lambda: len(asker.confirmed) > 2)
        assert asker.confirmed[-1] <= reader.watch.confirmed_at + 0.01
        assert boottime_clock() - asker.confirmed[-1] < 2.0

    run_scenario(scenario)


def test_asker_reads_the_platform_when_its_reader_is_partitioned():
    """A reader without answers of the platform must not answer from its old state.

    Otherwise, after a configuration is accepted, its routes are missing on hosts that
    could read the platform themselves.
    """

    async def scenario(reader, asker):
        await wait_until(lambda: asker.seen)
        reader.store.fault = "silent"
        asker.store.put(b"newer")
        await wait_until(lambda: asker.seen[-1] == b"newer")

    run_scenario(scenario)


def test_asker_reads_the_platform_when_its_reader_stops():
    async def scenario(reader, asker):
        await wait_until(lambda: asker.seen)
        reader.stop()
        asker.store.put(b"newer")
        await wait_until(lambda: asker.seen[-1] == b"newer")
        assert asker.lost == []

    run_scenario(scenario)


def test_host_refused_by_the_platform_queries_a_neighbour():
    """A host that the platform refuses gets changes and confirmations by a neighbour.

    When each host relied on its own reads and the platform refused a third of the
    hosts, these refused keys for nine seconds that their neighbours knew.
    """

    async def scenario(reader, asker):
        await wait_until(lambda: asker.seen)
        reader.store.fault = "refused"
        await wait_until(lambda: "platform_unread" in reader.events)
        asker.store.put(b"newer")
        await wait_until(lambda: reader.seen[-1] == b"newer")
        before = boottime_clock()
        await wait_until(lambda: reader.confirmed[-1] > before)

    run_scenario(scenario)


def test_reader_continues_while_an_earlier_host_is_refused():
    """A reader keeps answering while it queries a refused host before it.

    The platform refuses the first host, the second one reads for the others, and
    queries the first one again every three seconds. When it stopped answering before
    the first one was known to read again, all others read the platform, their answers
    filled the link until none arrived in time, and the failure domain had no
    configuration for nine seconds.
    """

    async def scenario(first, second):
        first.store.fault = "refused"
        await wait_until(lambda: "platform_unread" in first.events)
        third = WatchingHost(THIRD, second.port, FakeStore())
        everyone = (READER, ASKER, THIRD)
        for host in (first, second):
            host.neighbours.update_entry_hosts("agent", everyone)
        await third.start(everyone)
        try:
            await wait_until(lambda: third.seen and second.watch.is_current())
            reads = third.store.calls
            for number in range(8):
                second.store.put(f"{number}".encode())
                await wait_until(lambda: third.seen[-1] == second.store.data)
                await asyncio.sleep(0.5)
            assert third.store.calls == reads
        finally:
            third.stop()

    run_scenario(scenario)


def test_repeated_loss_of_history_causes_no_busy_loop():
    """A platform that answers each query for changes with ``HISTORY_GONE``.

    The whole table can be read each time, but the next query for changes fails again.
    Without a pause between the reads, all hosts that read the platform called it
    hundreds of times per second.
    """

    async def run():
        host = WatchingHost(READER, 1, FakeStore())
        whole_reads = []

        async def gone(table, *, after, wait):
            await asyncio.sleep(0.002)
            return HISTORY_GONE

        async def read(table, original=host.store.read):
            whole_reads.append(boottime_clock())
            return await original(table)

        host.store.follow, host.store.read = gone, read
        table = FollowedTable(name="t", wait=0.5, pause=0.0, on_update=host.seen.append)
        following = asyncio.create_task(host.watch.run([table]))
        await asyncio.sleep(1.0)
        following.cancel()
        # The second read has no delay, since there may be a change.
        assert 2 <= len(whole_reads) <= 2 + 1.0 / RETRY_PAUSE[0]

    asyncio.run(run())


def test_waiting_query_does_not_poll_the_mirror():
    """The reader must wait for changes without polling its tables.

    Each neighbour queries each table and waits up to a second. When the reader checked
    the table for each query every 50 ms, an entry host that read for nineteen others
    woke up 800 times per second while nothing changed.
    """

    async def scenario(reader, asker):
        call_times = []
        changes_since = reader.watch.mirror.changes_since

        def counting_changes_since(name, after, **options):
            call_times.append(boottime_clock())
            return changes_since(name, after, **options)

        reader.watch.mirror = CountingMirror(
            reader.watch.mirror, counting_changes_since
        )
        await asyncio.sleep(NEIGHBOUR_WAIT * 2)
        assert len(call_times) <= 12, "more than a few table scans per query"
        seen_before = len(asker.seen)
        reader.store.put(b"2")
        put_at = boottime_clock()
        await wait_until(lambda: len(asker.seen) > seen_before)
        assert boottime_clock() < put_at + 0.5

    run_scenario(scenario)


class CountingMirror:
    """A mirror with a replaced ``changes_since`` method."""

    def __init__(self, mirror, changes_since):
        self._mirror = mirror
        self.changes_since = changes_since

    def __getattr__(self, name):
        return getattr(self._mirror, name)


def test_first_start_limits_calls_until_neighbours_are_known():
    """Hosts without known neighbours use a longer pause at a first start.

    Engines register one after the other, and each entry host reads the list itself
    until an agent has reported its neighbours. With the pause for the single reader of
    a failure domain, a first start took 13 calls of each entry host.
    """

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        host_without_agents = WatchingHost(READER, port, FakeStore(), first_start=True)
        await host_without_agents.start(())
        for number in range(20):
            host_without_agents.store.put(str(number).encode())
            await asyncio.sleep(0.1)
        assert host_without_agents.store.calls <= 4
        host_without_agents.neighbours.update_entry_hosts("agent", (READER,))
        await asyncio.sleep(FIRST_START_PAUSE)
        host_without_agents.store.put(b"last")
        await wait_until(lambda: host_without_agents.seen[-1] == b"last", seconds=0.3)
        host_without_agents.stop()

    asyncio.run(run())


def test_query_waits_are_randomized():
    """Queries of different hosts must not stay synchronized.

    A change is answered to all hosts at the same time. With equal waits all later
    answers were simultaneous as well, so that a version declared just before the next
    answers was dated 0.6 s too early by every host, and old weights were refused half
    a second earlier than necessary.
    """

    async def scenario(reader, asker):
        waits = []
        follow = reader.store.follow

        async def recording_follow(table, *, after, wait):
            waits.append(wait)
            return await follow(table, after=after, wait=wait)

        reader.store.follow = recording_follow
        await wait_until(lambda: len(waits) >= 6, seconds=6.0)
        assert max(waits) <= 0.5
        assert min(waits) >= 0.5 * WAIT_SPREAD[0]
        assert max(waits) - min(waits) > 0.01

    run_scenario(scenario)


def test_only_one_host_reads_the_configuration_after_a_mass_restart():
    """Guards against each host reading it over the link between regions."""

    async def run():
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        addresses = (READER, ASKER, THIRD)
        hosts = [
            WatchingHost(address, port, FakeStore(), discovery_timeout=0.5)
            for address in addresses
        ]
        try:
            for host in hosts:
                await host.start(addresses, reported_after=0.1)
            await wait_until(lambda: all(host.seen for host in hosts))
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
        isolated = WatchingHost(READER, port, FakeStore(), discovery_timeout=0.3)
        try:
            await isolated.start((), reported_after=60.0)
            await wait_until(lambda: isolated.seen, seconds=1.0)
        finally:
            isolated.stop()

    asyncio.run(run())

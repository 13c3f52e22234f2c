"""Random plays of hosts that follow a store which is restored from copies.

More plays than in the test suite: ``RESTORED_PLAYS=1000 pytest --hypothesis-seed=1`` on
this file.
"""

import itertools
import os
from typing import NamedTuple

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from hawthornspoke.base import is_failure
from hawthornspoke.mirror import (
    HISTORY_GONE,
    ContentOrder,
    EraTracker,
    Mirror,
    Row,
    TableUpdate,
    era_of,
    make_revision,
    number_of,
)
from hawthornspoke.mirror._revision import newest
from hawthornspoke.mirror._tables import OUTDATED_HOLD

PLAYS = int(os.environ.get("RESTORED_PLAYS", "25"))
STEPS = 60

OPERATORS, ENDPOINTS = "operators", "endpoints"
MISSING_ENDPOINT_HOLD = 2.0
MISSING_HOLD_BY_TABLE = {OPERATORS: OUTDATED_HOLD, ENDPOINTS: MISSING_ENDPOINT_HOLD}

#: Numbers that operators increase, and a key whose versions have no order.
VERSION_KEYS = ("config", "weights")
EVACUATION = "evacuation"
ENDPOINT_KEYS = ("e1", "e2")

HOSTS = 3


class Version(NamedTuple):
    """Data of a row: its position, and the number of the write that made it."""

    position: tuple | None
    write: int


def orders():
    def position(key, data):
        return data.position

    return {
        OPERATORS: ContentOrder(position=position),
        ENDPOINTS: ContentOrder(
            position=position,
            binds_rewritten=False,
            missing_hold=MISSING_ENDPOINT_HOLD,
        ),
    }


class Store:
    """Rows with a change feed, which can go back to a copy."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.row_by_key = {}
        self.changes = []
        self.rewritten_keys = set()

    def put(self, table, key, data):
        self.revision += 1
        if data is None:
            self.row_by_key.pop((table, key), None)
        else:
            self.row_by_key[table, key] = (data, self.revision)
        self.changes.append((table, key, data, self.revision))
        self.rewritten_keys.add((table, key))

    def copy(self):
        return self.revision, dict(self.row_by_key), list(self.changes)

    def restore(self, copy):
        self.revision, row_by_key, changes = copy
        self.row_by_key, self.changes = dict(row_by_key), list(changes)
        self.era += 1
        self.rewritten_keys = set()

    def data(self, table, key):
        return self.row_by_key.get((table, key), (None, 0))[0]

    def answer(self, table, after):
        """Return changes since a revision, or all rows, as (key, data, number)."""
        if after is None:
            return [
                (key, data, number)
                for (name, key), (data, number) in self.row_by_key.items()
                if name == table
            ]
        if number_of(after) > self.revision:
            return HISTORY_GONE
        newest_by_key = {
            key: (key, data, number)
            for name, key, data, number in self.changes
            if name == table and number > number_of(after)
        }
        return list(newest_by_key.values())


class Progress:
    """How far a host has followed a table."""

    def __init__(self):
        self.revision = None
        self.generation = 0


class Host:
    """Follows tables like ``TableWatcher``, one message at a time."""

    def __init__(self, play):
        self._play = play
        self.is_cut = False
        self.start()

    def start(self):
        self.mirror = Mirror(order_by_table=orders(), clock=lambda: self._play.now)
        self.eras = EraTracker()
        self.progress_by_table = {OPERATORS: Progress(), ENDPOINTS: Progress()}
        self.pending_by_table = {}
        self.reads_store = False
        self.entered_at_by_table = {}
        self.seen_by_key = {}
        self.configuration = None

    def ask(self, table, reader):
        """Send a query to a neighbour, or to the store if ``reader`` is None."""
        progress = self.progress_by_table[table]
        revision = progress.revision
        if revision is not None and era_of(revision) < self.eras.era:
            progress.revision = None
        if self.mirror.has_expired_holds(table):
            progress.revision = None
        ask = self._ask_store if reader is None else self._ask_neighbour
        self.pending_by_table[table] = ask(table, progress, reader)

    def _ask_store(self, table, progress, reader):
        store, asked_in, after = self._play.store, self.eras.era, progress.revision
        rows, era, number = store.answer(table, after), store.era, store.revision

        def receive():
            known = self.eras.observe(str(era), asked_in=asked_in)
            if is_failure(known):
                return
            if rows == HISTORY_GONE:
                progress.revision = None
                return
            answer = TableUpdate(
                rows=[
                    Row(key=key, data=data, revision=make_revision(known, number))
                    for key, data, number in rows
                ],
                revision=make_revision(known, number),
                whole=after is None,
            )
            if after is None and self.mirror.era(table) != known:
                self._merge_earlier_eras(table)
            self._apply(table, answer)
            if table == OPERATORS:
                self.reads_store = True

        return receive

    def _merge_earlier_eras(self, table):
        for host in self._play.neighbours(self):
            host.eras.learn(self.eras.era)
            rows = host.mirror.rows_before_era(table, self.eras.era)
            self.mirror.merge(table, [_copied(row) for row in rows])

    def _ask_neighbour(self, table, progress, reader):
        reader.eras.learn(self.eras.era)
        answer = None
        if reader.reads_store:
            answer = reader.mirror.changes_since(
                table, progress.revision, generation=progress.generation
            )
        if answer is not None:
            answer.rows = [_copied(row) for row in answer.rows]

        def receive():
            if answer is None:
                return
            self.eras.learn(era_of(answer.revision))
            if era_of(answer.revision) < self.eras.era:
                return
            self._apply(table, answer)
            if table == OPERATORS:
                self.reads_store = False

        return receive

    def _apply(self, table, answer):
        progress = self.progress_by_table[table]
        known_era = self.mirror.era(table)
        is_new_era = known_era is None or era_of(answer.revision) > known_era
        if known_era is not None and is_new_era and not answer.whole:
            progress.revision = None
            return
        if is_new_era:
            self.entered_at_by_table[table] = self._play.now
        progress.generation = answer.generation
        answer = self.mirror.update(table, answer)
        progress.revision = newest(progress.revision or 0, answer.revision)
        for row in answer.rows:
            if row.key == "config" and row.data is not None:
                self._apply_configuration(row)
            row.is_correction = False
        self._check_nothing_taken_back(table)

    def _apply_configuration(self, row):
        """Do what ``Sink.on_catalog`` does."""
        known = self.configuration
        is_newer = known is None or row.data.position > known.position
        if is_newer or row.is_correction:
            self.configuration = row.data

    def rows(self, table):
        """Return the data of the known rows by key."""
        answer = self.mirror.changes_since(table, None)
        return {} if answer is None else {row.key: row.data for row in answer.rows}

    def poll(self, table, reader):
        """Query until there is an answer that is not only the notice of a new era."""
        for _ in range(3):
            self.ask(table, reader)
            self.pending_by_table.pop(table)()

    def _check_nothing_taken_back(self, table):
        """Check that no row is older than one this host knew, unless its hold ended."""
        held_for = self._play.now - self.entered_at_by_table[table]
        rows = self.rows(table)
        for key in VERSION_KEYS if table == OPERATORS else ENDPOINT_KEYS:
            seen, data = self.seen_by_key.get((table, key)), rows.get(key)
            if seen is not None and (data is None or data.position < seen.position):
                hold = MISSING_HOLD_BY_TABLE[table] if data is None else OUTDATED_HOLD
                is_stated_since = table == ENDPOINTS and (
                    self._play.removed_at_by_key.get(key, 0) > seen.write
                    if data is None
                    else data.write > seen.write
                )
                assert held_for >= hold or is_stated_since, (key, seen, data, held_for)
            self.seen_by_key[table, key] = data


def _copied(row):
    return Row(
        key=row.key,
        data=row.data,
        revision=row.revision,
        removed_data=row.removed_data,
    )


class RestoredPlay(RuleBasedStateMachine):
    """Operators, endpoints, a store that is restored, and hosts that read it."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = Store()
        self.copies = [self.store.copy()]
        self._writes = itertools.count(1)
        self.version_by_key = dict.fromkeys(VERSION_KEYS, 0)
        self.is_evacuated = False
        # Of the running endpoints: start, number of the write, whether it leaves.
        self.state_by_endpoint = {}
        self.removed_at_by_key = {}
        self.hosts = [Host(self) for _ in range(HOSTS)]

    def neighbours(self, host):
        if host.is_cut:
            return []
        return [other for other in self.hosts if other is not host and not other.is_cut]

    def _put(self, table, key, position):
        self.store.put(table, key, Version(position, next(self._writes)))

    def _write_again(self, key):
        self._put(OPERATORS, key, (self.version_by_key[key],))

    def _write_endpoint_again(self, key):
        state = self.state_by_endpoint.get(key)
        if state is not None:
            self._put(ENDPOINTS, key, state)

    def _is_lost(self, key):
        data = self.store.data(OPERATORS, key)
        version = 0 if data is None else data.position[0]
        return version < self.version_by_key[key]

    @rule(key=st.sampled_from(VERSION_KEYS))
    def write_next_version(self, key):
        self.version_by_key[key] += 1
        self._write_again(key)

    @rule(key=st.sampled_from(VERSION_KEYS))
    def write_lost_version_again(self, key):
        if self._is_lost(key):
            self._write_again(key)

    @rule(key=st.sampled_from(VERSION_KEYS))
    def continue_from_restored_version(self, key):
        """The operator reads the restored row, so that versions are given out again."""
        if self._is_lost(key):
            data = self.store.data(OPERATORS, key)
            self.version_by_key[key] = 0 if data is None else data.position[0]

    @rule(is_evacuated=st.booleans())
    def evacuate(self, is_evacuated):
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self._put(OPERATORS, EVACUATION, None)
        elif self.store.data(OPERATORS, EVACUATION) is not None:
            self.store.put(OPERATORS, EVACUATION, None)

    @rule(key=st.sampled_from(ENDPOINT_KEYS))
    def start_endpoint(self, key):
        self.state_by_endpoint[key] = (next(self._writes), 0, False)
        self._write_endpoint_again(key)

    @rule(key=st.sampled_from(ENDPOINT_KEYS), leaving=st.booleans())
    def write_endpoint(self, key, leaving):
        state = self.state_by_endpoint.get(key)
        if state is not None:
            started, sequence, was_leaving = state
            self.state_by_endpoint[key] = started, sequence + 1, leaving or was_leaving
            self._write_endpoint_again(key)

    @rule(key=st.sampled_from(ENDPOINT_KEYS))
    def write_lost_endpoint_again(self, key):
        self._write_endpoint_again(key)

    @rule(key=st.sampled_from(ENDPOINT_KEYS))
    def end_endpoint(self, key):
        if self.state_by_endpoint.pop(key, None) is not None:
            self.removed_at_by_key[key] = next(self._writes)
            if self.store.data(ENDPOINTS, key) is not None:
                self.store.put(ENDPOINTS, key, None)

    @rule()
    def copy_store(self):
        self.copies.append(self.store.copy())

    @rule(index=st.integers(0, 20))
    def restore_store(self, index):
        # Of copies made since then, the store has none.
        del self.copies[-1 - index % len(self.copies) :][1:]
        self.store.restore(self.copies[-1])

    @rule(
        key=st.sampled_from((*VERSION_KEYS, *ENDPOINT_KEYS)),
        reader=st.integers(0, HOSTS - 1),
        versions=st.integers(1, 3),
    )
    def lose_versions(self, key, reader, versions):
        """The store goes back to before versions that hosts have read."""
        copy = self.store.copy()
        for _ in range(versions):
            if key in VERSION_KEYS:
                self.write_next_version(key)
            else:
                self.write_endpoint(key, leaving=False)
        self.poll_once(reader)
        self.store.restore(copy)

    @rule(
        host=st.integers(0, HOSTS - 1),
        late=st.sampled_from([OPERATORS, ENDPOINTS]),
        versions=st.integers(0, 3),
    )
    def answer_arrives_after_a_restore(self, host, late, versions):
        """The other table shows the restore before an answer that was made earlier."""
        host = self.hosts[host]
        if host.is_cut:
            return
        copy = self.store.copy()
        for key in VERSION_KEYS * versions:
            self.write_next_version(key)
        host.ask(late, None)
        self.store.restore(copy)
        host.poll(ENDPOINTS if late == OPERATORS else OPERATORS, None)
        host.pending_by_table.pop(late)()

    @rule(seconds=st.sampled_from([0.5, 3.0, 25.0, 31.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(host=st.integers(0, HOSTS - 1), is_cut=st.booleans())
    def cut_host(self, host, is_cut):
        self.hosts[host].is_cut = is_cut

    @rule(host=st.integers(0, HOSTS - 1))
    def restart_host(self, host):
        self.hosts[host].start()

    @rule(
        host=st.integers(0, HOSTS - 1),
        reader=st.integers(0, HOSTS - 1),
        table=st.sampled_from([OPERATORS, ENDPOINTS]),
    )
    def ask(self, host, reader, table):
        """A host asks the store, if it is the reader itself, or a neighbour."""
        host, reader = self.hosts[host], self.hosts[reader]
        if host.is_cut or table in host.pending_by_table:
            return
        if reader is host or reader in self.neighbours(host):
            host.ask(table, None if reader is host else reader)

    @rule(
        host=st.integers(0, HOSTS - 1),
        table=st.sampled_from([OPERATORS, ENDPOINTS]),
        is_lost=st.booleans(),
    )
    def answer_arrives(self, host, table, is_lost):
        receive = self.hosts[host].pending_by_table.pop(table, None)
        if receive is not None and not is_lost:
            receive()

    @rule(reader=st.integers(0, HOSTS - 1))
    def poll_once(self, reader):
        """Hosts in touch have what was written again, after a poll of each."""
        reader = self.hosts[reader]
        if reader.is_cut:
            return
        self._poll_through(reader)
        for host in (reader, *self.neighbours(reader)):
            self._check_rewritten(host)

    def _poll_through(self, reader):
        for table in (OPERATORS, ENDPOINTS):
            reader.poll(table, None)
        for host in self.neighbours(reader):
            for table in (OPERATORS, ENDPOINTS):
                host.poll(table, reader)

    def _check_rewritten(self, host):
        for table, key in self.store.rewritten_keys:
            data, known = self.store.data(table, key), host.rows(table).get(key)
            if data is None or data == known:
                continue
            # A version that was given out again is lower than one seen before.
            assert data.position is not None and known is not None, key
            assert known.position > data.position, (key, known, data)
            assert table == OPERATORS, (key, known, data)

    def teardown(self):
        """Hosts agree with the store once writers have written and holds have ended."""
        for host in self.hosts:
            host.is_cut = False
            host.pending_by_table.clear()
        for key in VERSION_KEYS:
            if self._is_lost(key):
                self._write_again(key)
        for key in ENDPOINT_KEYS:
            self._write_endpoint_again(key)
        # A host that asks a neighbour holds a row for longer than its reader.
        for _ in range(3):
            self._poll_through(self.hosts[0])
            self.now += OUTDATED_HOLD
        self._poll_through(self.hosts[0])
        for host in self.hosts:
            for table in (OPERATORS, ENDPOINTS):
                rows = {
                    key: data
                    for (name, key), (data, _) in self.store.row_by_key.items()
                    if name == table
                }
                assert host.rows(table) == rows
                assert not host.mirror.has_expired_holds(table)
            # A configuration that is removed stays in force.
            configuration = self.store.data(OPERATORS, "config")
            assert configuration in (None, host.configuration)


def test_hosts_take_nothing_back_and_converge_after_restores():
    """Guards against copies that win over rows which were acknowledged before."""
    run_state_machine_as_test(
        RestoredPlay,
        settings=settings(
            max_examples=PLAYS,
            derandomize="RESTORED_PLAYS" not in os.environ,
            stateful_step_count=STEPS,
            deadline=None,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )

"""What the rows of the platform's tables say, told to a sink."""

from hawthornspoke.base import is_failure
from hawthornspoke.fields import UNUSABLE
from hawthornspoke.mirror._unusable import (
    CONFIGURATION,
    ENDPOINT,
    WEIGHTS,
    UnusableRows,
)


class Intake:
    """Decodes rows one by one, so that a bad one takes nothing else with it.

    Parameters
    ----------
    sink : object
        ``on_catalog``, ``on_entries``, ``on_declared``, ``log`` and ``metrics``.
    record : RecordKeeper
    decode_entry : callable
        Given an endpoint's id and a row's data, returns an EndpointEntry or a Failure.
    operators_decoder : callable
        Given the key of a row of the operators, returns its kind, ``CONFIGURATION``,
        ``WEIGHTS`` or None, and what decodes its data, to a Catalog, DeclaredWeights
        or a Failure.
    """

    __slots__ = (
        "_sink",
        "_record",
        "_decode_entry",
        "_operators_decoder",
        "_unusable",
        "_outcome_by_id",
        "_services",
        "_revision",
        "_reason_by_key_by_kind",
    )

    def __init__(self, *, sink, record, decode_entry, operators_decoder):
        self._sink = sink
        self._record = record
        self._decode_entry = decode_entry
        self._operators_decoder = operators_decoder
        self._unusable = UnusableRows(log=sink.log, metrics=sink.metrics)
        # An EndpointEntry or a Failure for each row that is there.
        self._outcome_by_id = {}
        # Names in the newest configuration, None before the first.
        self._services = None
        self._revision = float("-inf")
        self._reason_by_key_by_kind = {CONFIGURATION: {}, WEIGHTS: {}}

    def take_operators(self, news):
        """Take rows of the operators' table; a bad one changes nothing in force.

        Parameters
        ----------
        news : News
        """
        if news.whole:
            self._reason_by_key_by_kind = {CONFIGURATION: {}, WEIGHTS: {}}
        for row in news.rows:
            self._take_operators_row(row, news)
        for kind, reason_by_key in self._reason_by_key_by_kind.items():
            self._unusable.take(kind, reason_by_key)

    def take_endpoints(self, news):
        """Take rows of the endpoints' table.

        A bad row takes out the entry that stood under its key: it names no endpoint
        now, and the older word would send requests to whatever is there instead.

        Parameters
        ----------
        news : News
        """
        if not news.rows and not news.whole:
            return
        if news.whole:
            self._outcome_by_id = {}
        for row in news.rows:
            if row.data is None:
                self._outcome_by_id.pop(row.key, None)
            else:
                self._outcome_by_id[row.key] = self._decode_entry(row.key, row.data)
        self._tell_entries()

    def _take_operators_row(self, row, news):
        kind, decode = self._operators_decoder(row.key)
        if kind is None:
            return
        reason_by_key = self._reason_by_key_by_kind[kind]
        reason_by_key.pop(row.key, None)
        if row.data is None:
            return
        outcome = decode(row.data)
        if is_failure(outcome):
            reason_by_key[row.key] = outcome.reason
        elif kind == CONFIGURATION:
            self._use_catalog(outcome)
        else:
            self._sink.on_declared(
                outcome, written_at=row.written_at, known_until=news.known_until
            )
            # Only the platform says when it made an answer.
            first_hand = news.made_at is not None
            self._record.take(outcome, row, first_hand=first_hand)

    def _use_catalog(self, catalog):
        self._sink.on_catalog(catalog)
        if catalog.revision < self._revision:
            return
        self._revision = catalog.revision
        services = frozenset(catalog.service_by_name)
        if services != self._services:
            self._services = services
            if self._outcome_by_id:
                self._tell_entries()

    def _tell_entries(self):
        entries, reason_by_key = [], {}
        for endpoint_id, outcome in self._outcome_by_id.items():
            outcome = self._of_named_service(outcome)
            if is_failure(outcome):
                reason_by_key[endpoint_id] = outcome.reason
            else:
                entries.append(outcome)
        self._unusable.take(ENDPOINT, reason_by_key)
        self._sink.on_entries(entries)

    def _of_named_service(self, outcome):
        """Return an entry, or a Failure if no configuration names its service.

        Agents are found by the address of their engine. An unknown service listed at
        that address would be found in its place, and the agent be told nothing.
        """
        if is_failure(outcome) or self._services is None:
            return outcome
        if outcome.service in self._services:
            return outcome
        return UNUSABLE.because(f"no configuration names service {outcome.service!r}")

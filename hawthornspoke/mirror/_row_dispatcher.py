"""Decodes rows of the platform's tables and passes them to a sink."""

from hawthornspoke.base import is_failure
from hawthornspoke.fields import UNUSABLE
from hawthornspoke.mirror._unusable import (
    CONFIGURATION,
    ENDPOINT,
    EVACUATION,
    WEIGHTS,
    UnusableRows,
)


class RowDispatcher:
    """Decodes rows and passes the results to a sink.

    Rows are decoded independently, so that an invalid one does not affect the others.

    Parameters
    ----------
    sink : object
        Has ``on_catalog``, ``on_entries``, ``on_declared``, ``on_evacuations``,
        ``log`` and ``metrics``.
    recorder : DeclarationRecorder
    decode_entry : callable
        Given the id of an endpoint and the data of its row, returns an EndpointEntry or
        a Failure.
    decoder_for_operators_key : callable
        Given the key of a row of the operators' table, returns its kind
        (``CONFIGURATION``, ``WEIGHTS``, ``EVACUATION`` or None) and the function that
        decodes its data to a Catalog, DeclaredWeights, Evacuation or a Failure.
    """

    __slots__ = (
        "_sink",
        "_recorder",
        "_decode_entry",
        "_decoder_for_operators_key",
        "_unusable",
        "_row_by_id",
        "_outcome_by_id",
        "_services",
        "_revision",
        "_reason_by_key_by_kind",
        "_evacuation_by_key",
    )

    def __init__(self, *, sink, recorder, decode_entry, decoder_for_operators_key):
        self._sink = sink
        self._recorder = recorder
        self._decode_entry = decode_entry
        self._decoder_for_operators_key = decoder_for_operators_key
        self._unusable = UnusableRows(log=sink.log, metrics=sink.metrics)
        self._row_by_id = {}
        # By endpoint id, the EndpointEntry or the Failure of decoding its row.
        self._outcome_by_id = {}
        # Service names in the newest configuration; None before the first one.
        self._services = None
        self._revision = float("-inf")
        self._reason_by_key_by_kind = _no_reasons()
        self._evacuation_by_key = {}

    def apply_operators(self, table_update):
        """Apply rows of the operators' table; invalid ones leave the state as it is.

        Parameters
        ----------
        table_update : TableUpdate
        """
        evacuated_before = self._evacuated_domains()
        if table_update.whole:
            self._reason_by_key_by_kind = _no_reasons()
            # A row that is missing from the whole table was removed.
            self._evacuation_by_key = {}
        for row in table_update.rows:
            self._apply_operators_row(row, table_update)
        evacuated = self._evacuated_domains()
        # After a restart of the reader, the sink may hold evacuations that have ended
        # meanwhile, which this dispatcher never knew.
        if table_update.whole or evacuated != evacuated_before:
            self._sink.on_evacuations(evacuated)
        for kind, reason_by_key in self._reason_by_key_by_kind.items():
            self._unusable.update(kind, reason_by_key)

    def apply_endpoints(self, table_update):
        """Apply rows of the endpoints' table.

        An invalid row removes the entry with its key: the row no longer identifies an
        endpoint, and with the old entry, requests would be sent to whatever now runs at
        its address.

        Parameters
        ----------
        table_update : TableUpdate
        """
        if not table_update.rows and not table_update.whole:
            return
        if table_update.whole:
            present_keys = {row.key for row in table_update.rows}
            for key in self._row_by_id.keys() - present_keys:
                self._remove_endpoint(key)
        for row in table_update.rows:
            if row.data is None:
                self._remove_endpoint(row.key)
            else:
                self._apply_endpoint_row(row)
        self._publish_entries()

    def _apply_endpoint_row(self, row):
        known = self._row_by_id.get(row.key)
        if (
            known is not None
            and known.revision == row.revision
            and known.data == row.data
        ):
            # Only the entry of a row that was written again is a new one: the times in
            # it count from its arrival.
            return
        self._row_by_id[row.key] = row
        self._outcome_by_id[row.key] = self._decode_entry(row.key, row.data)

    def _remove_endpoint(self, key):
        self._row_by_id.pop(key, None)
        self._outcome_by_id.pop(key, None)

    def _apply_operators_row(self, row, table_update):
        kind, decode = self._decoder_for_operators_key(row.key)
        if kind is None:
            return
        reason_by_key = self._reason_by_key_by_kind[kind]
        reason_by_key.pop(row.key, None)
        if row.data is None:
            self._evacuation_by_key.pop(row.key, None)
            return
        outcome = decode(row.data)
        if is_failure(outcome):
            reason_by_key[row.key] = outcome.reason
        elif kind == CONFIGURATION:
            self._apply_catalog(outcome, row)
        elif kind == EVACUATION:
            self._evacuation_by_key[row.key] = outcome
        else:
            self._sink.on_declared(
                outcome,
                written_at=row.written_at,
                known_until=table_update.known_until,
                outage_ended_at=table_update.outage_ended_at,
            )
            # Answers of neighbours don't state when they were made.
            from_platform = table_update.made_at is not None
            self._recorder.update(outcome, row, from_platform=from_platform)

    def _evacuated_domains(self):
        return frozenset(
            item.failure_domain for item in self._evacuation_by_key.values()
        )

    def _apply_catalog(self, catalog, row):
        self._sink.on_catalog(catalog, is_correction=row.is_correction)
        if catalog.revision < self._revision and not row.is_correction:
            return
        self._revision = catalog.revision
        services = frozenset(catalog.service_by_name)
        if services != self._services:
            self._services = services
            if self._outcome_by_id:
                self._publish_entries()

    def _publish_entries(self):
        entries, reason_by_key = [], {}
        for endpoint_id, outcome in self._outcome_by_id.items():
            outcome = self._check_service(outcome)
            if is_failure(outcome):
                reason_by_key[endpoint_id] = outcome.reason
            else:
                entries.append(outcome)
        self._unusable.update(ENDPOINT, reason_by_key)
        self._sink.on_entries(entries)

    def _check_service(self, outcome):
        """Return the entry, or a Failure if its service is not in the configuration.

        Agents are looked up by the address of their engine. If an entry of an unknown
        service had the same address, it would be found in place of the valid entry, and
        the agent would get no messages.
        """
        if is_failure(outcome) or self._services is None:
            return outcome
        if outcome.service in self._services:
            return outcome
        return UNUSABLE.with_reason(
            f"no configuration names service {outcome.service!r}"
        )


def _no_reasons():
    return {CONFIGURATION: {}, WEIGHTS: {}, EVACUATION: {}}

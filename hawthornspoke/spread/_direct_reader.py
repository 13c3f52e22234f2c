"""Direct reads of the platform's store by an agent without an entry host."""

import copy

from hawthornspoke.base import Failure, is_failure
from hawthornspoke.catalog import newest_version_by_model
from hawthornspoke.mirror import CONFIGURATION, ENDPOINT, WEIGHTS, decode_rows
from hawthornspoke.peering import make_directive, peer_endpoints

#: The configuration that was read does not say what the agent has to load.
NO_ENGINE_SERVICE = Failure(code="no_engine_service")


class DirectReader:
    """Reads configuration, declared versions of weights and endpoints at each call.

    Parameters
    ----------
    store : object
        ``await read(table, first_key=, end_key=)`` returns TableUpdate or a Failure;
        the range of keys is optional, and its end is exclusive.
    service : str
        Service of the engine on this host.
    version_bound : float
        Seconds after a version's declaration during which older weights may be used.
    operators_table : str
        Table of the configuration and the declared versions.
    endpoints_table : str
    configuration_key : str
        Key of the configuration's row.
    version_prefix : str
        Key prefix of the rows that declare a version.
    decode_configuration, decode_declared : callable
        Given the data of a row, returns a Catalog or DeclaredWeights, or a Failure.
    decode_entry : callable
        Given the id of an endpoint and the data of its row, returns an EndpointEntry or
        a Failure.

    Attributes
    ----------
    unusable : UnusableRows or None
        Records rows that can't be used; set after the log is created.
    """

    __slots__ = (
        "unusable",
        "_store",
        "_service",
        "_version_bound",
        "_operators_table",
        "_endpoints_table",
        "_configuration_key",
        "_version_prefix",
        "_decode_configuration",
        "_decode_declared",
        "_decode_entry",
    )

    def __init__(
        self,
        *,
        store,
        service,
        version_bound,
        operators_table,
        endpoints_table,
        configuration_key,
        version_prefix,
        decode_configuration,
        decode_declared,
        decode_entry,
    ):
        self.unusable = None
        self._store = store
        self._service = service
        self._version_bound = version_bound
        self._operators_table = operators_table
        self._endpoints_table = endpoints_table
        self._configuration_key = configuration_key
        self._version_prefix = version_prefix
        self._decode_configuration = decode_configuration
        self._decode_declared = decode_declared
        self._decode_entry = decode_entry

    async def __call__(self, previous):
        """Return a Directive, which says what the agent has to load, or a Failure.

        Parameters
        ----------
        previous : Directive or None
            Last directive. If there is one, the configuration is not read again: it
            is 30 to 200 KB, and agents tend to lose their entry hosts all at once.
        """
        if previous is None:
            operators = await self._store.read(self._operators_table)
        else:
            operators = await self._store.read(
                self._operators_table,
                first_key=self._version_prefix,
                end_key=_end_of_prefix(self._version_prefix),
            )
        if is_failure(operators):
            return operators
        endpoints = await self._store.read(self._endpoints_table)
        if is_failure(endpoints):
            return endpoints
        entries = self._entries(endpoints.rows)
        if previous is not None:
            return self._updated_directive(previous, operators.rows, entries)
        return self._new_directive(operators.rows, entries)

    async def peers(self):
        """Return the service's endpoints in the form that entry hosts send to agents.

        Returns
        -------
        list of PeerEndpoint or Failure
        """
        endpoints = await self._store.read(self._endpoints_table)
        if is_failure(endpoints):
            return endpoints
        return peer_endpoints(self._entries(endpoints.rows))

    def _entries(self, rows):
        entry_by_id = self._decode_rows(rows, ENDPOINT, self._decode_entry)
        return [item for item in entry_by_id.values() if item.service == self._service]

    def _newest_versions(self, rows):
        """Return the newest declared version by model."""
        rows = [row for row in rows if row.key.startswith(self._version_prefix)]
        declared_by_key = self._decode_rows(
            rows, WEIGHTS, lambda key, data: self._decode_declared(data)
        )
        return newest_version_by_model(declared_by_key.values())

    def _decode_rows(self, rows, kind, decode):
        item_by_key, reason_by_key = decode_rows(rows, decode)
        if self.unusable is not None:
            self.unusable.update(kind, reason_by_key)
        return item_by_key

    def _updated_directive(self, previous, operator_rows, entries):
        updated = copy.copy(previous)
        # The row of a version doesn't tell when it was declared, so its age is unknown.
        updated.age_ms = updated.known_ms = updated.made_us = None
        # Their ages were those at the time of the previous directive.
        updated.earlier_versions = None
        updated.weights_version = max(
            previous.weights_version,
            self._newest_versions(operator_rows).get(previous.model, 0),
        )
        updated.peers = peer_endpoints(entries)
        return updated

    def _new_directive(self, operator_rows, entries):
        configurations = [
            row for row in operator_rows if row.key == self._configuration_key
        ]
        catalog_by_key = self._decode_rows(
            configurations,
            CONFIGURATION,
            lambda key, data: self._decode_configuration(data),
        )
        catalog = catalog_by_key.get(self._configuration_key)
        if catalog is None:
            return NO_ENGINE_SERVICE.with_reason("the store has no valid configuration")
        service = catalog.service_by_name.get(self._service)
        if service is None or service.engine is None:
            return NO_ENGINE_SERVICE.with_reason(
                "the configuration has no engine service of this name"
            )
        engine = service.engine
        origins = [item.origin for item in catalog.service_by_name.values()]
        return make_directive(
            engine=engine,
            version=self._newest_versions(operator_rows).get(engine.model),
            age=None,
            peers=entries,
            origin=next((origin for origin in origins if origin), None),
            bound=self._version_bound,
        )


def _end_of_prefix(prefix):
    """Return the exclusive end of the range of keys that start with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)

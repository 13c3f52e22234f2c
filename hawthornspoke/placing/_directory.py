"""Index of the endpoints known from the platform's endpoint list."""

from hawthornspoke.placing._endpoint import Endpoint

#: Entries of the endpoint list lapse unless they are renewed, which fails while the
#: platform is unreachable. An entry that vanishes within LAPSE_WINDOW seconds after the
#: platform became reachable again may only have lapsed, and stays in use for
#: LAPSE_GRACE_TIME seconds. Lapsed entries return within two seconds; if the endpoint
#: did leave, no harm is done, since it still serves for at least two seconds.
LAPSE_GRACE_TIME = 1.5
LAPSE_WINDOW = 2.5

#: Seconds after it vanished within which a lapsed entry returns.
LAPSE_RETURN_TIME = 2.0


class EndpointDirectory:
    """Finds endpoints by id, service and address."""

    __slots__ = ("endpoint_by_id", "_ids_by_service", "_id_by_address", "_has_list")

    def __init__(self):
        self._has_list = False
        self.endpoint_by_id = {}
        self._ids_by_service = {}
        self._id_by_address = {}

    def update_from_list(self, message, now):
        """Update the endpoints from the platform's endpoint list.

        Parameters
        ----------
        message : EndpointsListed
        now : float

        Returns
        -------
        list of Endpoint
            Those that have started or come back during this host's run. Neither the
            first list nor entries that only lapsed show a start.
        """
        may_have_lapsed = (
            now < message.contact_regained_at + LAPSE_WINDOW + LAPSE_RETURN_TIME
        )
        shows_starts = self._has_list and not may_have_lapsed
        self._has_list = True
        started = []
        entry_by_id = {entry.endpoint_id: entry for entry in message.entries}
        for endpoint_id, entry in entry_by_id.items():
            endpoint = self.endpoint_by_id.get(endpoint_id)
            if endpoint is None:
                endpoint = Endpoint(entry=entry, now=now)
                self.endpoint_by_id[endpoint_id] = endpoint
                is_back, restarted = True, False
            else:
                is_back = endpoint.gone
                restarted = endpoint.update_entry(entry, now)
            if restarted or (is_back and shows_starts):
                started.append(endpoint)
        lapsed = now < message.contact_regained_at + LAPSE_WINDOW
        self._drop_unlisted(entry_by_id, lapsed=lapsed, now=now)
        self._rebuild_index()
        return started

    def at(self, address):
        """Return the endpoint listed at an address, None if there is none."""
        return self.endpoint_by_id.get(self._id_by_address.get(address))

    def is_replaced(self, placement):
        """Return whether another process is known to run at an endpoint's address.

        Parameters
        ----------
        placement : Placement
            Of a request that was sent there.

        Returns
        -------
        bool
            False if nothing is listed at the address any more.
        """
        endpoint = self.at(placement.address)
        if endpoint is None:
            return False
        is_same = endpoint.entry.endpoint_id == placement.endpoint_id
        return not (is_same and endpoint.is_target(placement.incarnation))

    def of_service(self, name):
        """Return the endpoints of a service."""
        return [self.endpoint_by_id[key] for key in self._ids_by_service.get(name, ())]

    def request_target(self, message):
        """Return the endpoint a request was sent to, None if it has restarted.

        An incarnation is one run of an endpoint's process. A request may end after the
        incarnation that it was sent to, by up to its deadline. If it counted for the
        next one, that one would be ejected for failures of the previous one, and filled
        beyond its slots as if its own requests had ended.

        Parameters
        ----------
        message : RequestSent, SignalsObserved or RequestFinished

        Returns
        -------
        Endpoint or None
        """
        endpoint = self.endpoint_by_id.get(message.endpoint_id)
        if endpoint is None or not endpoint.is_target(message.incarnation):
            return None
        return endpoint

    def clear_agent_state(self, address):
        """Discard the agent's reports about the endpoint at an address."""
        # Unlisted endpoints too: they may return as another incarnation.
        for endpoint in self.endpoint_by_id.values():
            if endpoint.entry.address == address:
                endpoint.state = None

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            endpoint_id: endpoint.dump(now=now)
            for endpoint_id, endpoint in self.endpoint_by_id.items()
        }

    def _drop_unlisted(self, entry_by_id, *, lapsed, now):
        for endpoint_id, endpoint in list(self.endpoint_by_id.items()):
            if endpoint_id in entry_by_id:
                continue
            if not endpoint.gone:
                endpoint.gone = True
                endpoint.grace_deadline = now + LAPSE_GRACE_TIME if lapsed else now
            if endpoint.may_be_forgotten(now):
                del self.endpoint_by_id[endpoint_id]

    def _rebuild_index(self):
        self._ids_by_service = {}
        self._id_by_address = {}
        for endpoint_id, endpoint in self.endpoint_by_id.items():
            ids = self._ids_by_service.setdefault(endpoint.entry.service, [])
            ids.append(endpoint_id)
            if not endpoint.gone:
                self._id_by_address[endpoint.entry.address] = endpoint_id

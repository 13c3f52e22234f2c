"""Hosts that exchange the same weights, and the region of each."""


class Peer:
    """One of these hosts, with the attributes that the swarm state machine reads."""

    __slots__ = ("failure_domain", "address", "port", "is_seeder")

    def __init__(self, *, failure_domain, address, port, is_seeder=False):
        self.failure_domain = failure_domain
        self.address = address
        self.port = port
        self.is_seeder = is_seeder


class Peers:
    """The hosts that exchange the same weights, including this one.

    Parameters
    ----------
    settings : SpreadSettings

    Attributes
    ----------
    peer_by_name : dict of str to Peer
    """

    __slots__ = ("peer_by_name", "_settings")

    def __init__(self, *, settings):
        self.peer_by_name = {}
        self._settings = settings

    def source_label(self, node):
        """Return the value of the metrics label ``source`` for a peer.

        It is ``"region"`` for a peer in this host's region and for an unknown one, else
        ``"far"``.
        """
        region_by_domain = self._settings.region_by_failure_domain
        peer = self.peer_by_name.get(node)
        own = region_by_domain.get(self._settings.failure_domain)
        if peer is None or region_by_domain.get(peer.failure_domain) == own:
            return "region"
        return "far"

    def region_nodes(self):
        """Return the hosts of this host's region, including itself.

        Seeders and hosts with engines are separate.
        """
        own = self.peer_by_name.get(self._settings.engine_address)
        is_seeder = own is not None and own.is_seeder
        return [
            node
            for node, peer in self.peer_by_name.items()
            if peer.is_seeder == is_seeder and self.source_label(node) == "region"
        ]

    def seeders(self):
        """Return the names of this host's seeders, the preferred one first."""
        own = self.peer_by_name.get(self._settings.engine_address)
        if own is None or own.is_seeder:
            return []
        return [name for name, peer in self.peer_by_name.items() if peer.is_seeder]

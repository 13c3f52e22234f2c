"""Clients of the platform's services, and the actor that makes blocking reads."""

import pykka

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.config import unpack_document
from hawthornspoke.node._messages import (
    DocumentFetched,
    DocumentFetchRequested,
    HostsRead,
    ReadHosts,
    ReadTable,
    TableRowRead,
)
from hawthornspoke.protocol import Connection
from hawthornspoke.store import (
    HostListClient,
    HttpClient,
    ObjectClient,
    OriginClient,
    TableClient,
)

CONFIG_KEY = "config"
DOCUMENT_PREFIX = "documents/"
MANIFEST_PREFIX = "manifests/"
PEER_TIMEOUT = 1.0


class PlatformClients:
    """Clients of the platform's services, for use by one thread.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    hosts : HostListClient
    origin : OriginClient
    """

    __slots__ = ("table", "objects", "hosts", "origin")

    def __init__(self, *, table, objects, hosts, origin):
        self.table = table
        self.objects = objects
        self.hosts = hosts
        self.origin = origin


def connect_platform(platform):
    """Return clients for the platform described by the settings.

    Parameters
    ----------
    platform : dict of str to object

    Returns
    -------
    PlatformClients
    """
    timeout = float(platform["timeout"])

    def http(key):
        return HttpClient(url=platform[key], timeout=timeout, connections=16)

    return PlatformClients(
        table=TableClient(http=http("table_url")),
        objects=ObjectClient(http=http("objects_url")),
        hosts=HostListClient(http=http("hosts_url")),
        origin=OriginClient(http=http("origin_url")),
    )


class PlatformActor(pykka.ThreadingActor):
    """Reads configuration row, host list and documents for the control actor.

    Parameters
    ----------
    clients : PlatformClients
    control : pykka.ActorRef

    Notes
    -----
    The platform may be slow for a long time; reads block this actor only. One actor
    reads the table and the host list and another one the documents, so that a slow
    table doesn't delay fetching a document from a peer.
    """

    use_daemon_thread = True

    def __init__(self, *, clients, control):
        super().__init__()
        self.clients = clients
        self.control = control

    def on_receive(self, message):
        """Execute one read and send its result to the control actor."""
        if isinstance(message, ReadTable):
            row = self.clients.table.get(CONFIG_KEY)
            self._tell(TableRowRead(row=row))
        elif isinstance(message, ReadHosts):
            self._tell(HostsRead(entries=self.clients.hosts.read()))
        elif isinstance(message, DocumentFetchRequested):
            self._tell(self._fetch(message))

    def _fetch(self, message):
        data = self._fetch_from_peer(message) if message.address else None
        document = _unpack_verified(data, message.digest)
        if document is None:
            data = self.clients.objects.get(DOCUMENT_PREFIX + message.digest)
            document = _unpack_verified(data, message.digest)
        if document is None:
            data = None
        return DocumentFetched(digest=message.digest, data=data, document=document)

    def _fetch_from_peer(self, message):
        connection = Connection(address=message.address, port=message.port)
        reply = connection.call(
            "document", message.digest, deadline=monotonic() + PEER_TIMEOUT
        )
        connection.close()
        return None if is_failure(reply) else reply.data

    def _tell(self, message):
        if self.control.is_alive():
            self.control.tell(message)


def _unpack_verified(data, digest):
    if not isinstance(data, bytes):
        return None
    document = unpack_document(data, digest=digest)
    return None if is_failure(document) else document

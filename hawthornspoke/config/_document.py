"""Configuration documents, which are distributed to all nodes.

A document holds the operators' declarations, with each version of weights pinned to
the digest of its manifest.
"""

import fnmatch
import json
import zlib

from hawthornspoke import fields
from hawthornspoke.base import Failure, digest_of

BAD_DOCUMENT = Failure(code="bad_document")

DEFAULT_ROLLOUT = {
    "strategy": "scatter",
    "origin_copies": 1,
    "origin_scope": "fleet",
}


class ServiceView:
    """Read access to one service in a configuration document.

    Parameters
    ----------
    name : str
    table : dict
        The service's table in the document.
    """

    __slots__ = ("name", "kind", "digest", "previous", "sources", "adapters", "table")

    def __init__(self, *, name, table):
        self.name = name
        self.table = table
        self.kind = table["kind"]
        self.digest = table.get("digest", "")
        self.previous = tuple(table.get("previous", ()))
        self.adapters = dict(table.get("adapter_digests", {}))
        self.sources = dict(table.get("sources", {}))

    def runs_on(self, host):
        """Return whether a host matches one of the service's host patterns.

        Parameters
        ----------
        host : str

        Returns
        -------
        bool
        """
        patterns = self.table["hosts"]
        return any(fnmatch.fnmatchcase(host, pattern) for pattern in patterns)

    def allows_organisation(self, organisation):
        """Return whether an organisation may use the service.

        Parameters
        ----------
        organisation : str

        Returns
        -------
        bool
        """
        allowed = self.table["organisations"]
        return organisation in allowed or "*" in allowed

    def required_digests(self):
        """Return the digests of the weights that each host of the service must hold.

        Returns
        -------
        list of str
            The base weights first, then the adapters.
        """
        if self.kind != "model":
            return []
        return [self.digest, *self.adapters.values()]

    def accepts_digest(self, digest, *, adapter=""):
        """Return whether a response computed with these weights is valid.

        Parameters
        ----------
        digest : str
        adapter : str, default=""
            Name of the requested adapter, empty for the base weights.

        Returns
        -------
        bool
            True for the declared digest and for previously declared ones, which hosts
            use until they have loaded the declared weights.
        """
        if adapter:
            previous_digests = self.table.get("previous_adapters", {}).get(adapter, ())
            return digest == self.adapters.get(adapter) or digest in previous_digests
        return digest == self.digest or digest in self.previous

    def live_key(self, adapter=""):
        """Return the key under which endpoints report the weights in use (live ones).

        Parameters
        ----------
        adapter : str, default=""

        Returns
        -------
        str
            The service's name, or ``service:adapter``.
        """
        return f"{self.name}:{adapter}" if adapter else self.name


def build_document(*, tree, digest_by_source, previous=None):
    """Build a document from declarations by pinning versions to digests.

    Parameters
    ----------
    tree : dict
        Valid declarations.
    digest_by_source : dict of str to str
        Digest of the manifest of each source, the declared name of weights at the
        origin, as read when the declarations are accepted.
    previous : dict or None, default=None
        The document that the new one replaces, if any.

    Returns
    -------
    dict
    """
    services = {}
    for name, declared in tree.get("services", {}).items():
        services[name] = _pin_service(declared, tree, digest_by_source)
        _add_previous(services[name], (previous or {}).get("services", {}).get(name))
    return {
        "failure_domains": tree.get("failure_domains", {}),
        "organisations": tree.get("organisations", {}),
        "rollout": {**DEFAULT_ROLLOUT, **tree.get("rollout", {})},
        "services": services,
    }


def _pin_service(declared, tree, digest_by_source):
    table = dict(declared)
    if table["kind"] != "model":
        return table
    model = tree["models"][table["model"]]
    source = model["versions"][table["version"]]["source"]
    digest = digest_by_source[source]
    table["digest"] = digest
    table["sources"] = {digest: source}
    table["adapter_digests"] = {}
    for adapter in table.get("adapters", ()):
        source = model["adapters"][adapter]["source"]
        table["adapter_digests"][adapter] = digest_by_source[source]
        table["sources"][digest_by_source[source]] = source
    return table


def _add_previous(table, previous_table):
    if previous_table is None or table["kind"] != "model":
        return
    earlier_digests = [
        previous_table.get("digest"),
        *previous_table.get("previous", ()),
    ]
    # Two previous digests are kept: if the version changes again before all hosts
    # have loaded it, responses from hosts that still serve the oldest one are valid.
    outdated_digests = [
        digest for digest in earlier_digests if digest and digest != table["digest"]
    ]
    table["previous"] = list(dict.fromkeys(outdated_digests))[:2]
    table["previous_adapters"] = {}
    for adapter, digest in table["adapter_digests"].items():
        previous_digest = previous_table.get("adapter_digests", {}).get(adapter)
        if previous_digest and previous_digest != digest:
            table["previous_adapters"][adapter] = [previous_digest]


def pack_document(document):
    """Serialize and compress a document; equal documents give equal bytes.

    Parameters
    ----------
    document : dict

    Returns
    -------
    bytes
    """
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), level=9)


def document_digest(data):
    """Return the digest of a packed document.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    str
    """
    return digest_of(data)


def unpack_document(data, *, digest):
    """Verify the digest of a packed document and decode it.

    Parameters
    ----------
    data : bytes
    digest : str
        Expected digest. It makes data from any node safe to use, since a wrong or
        truncated copy has another digest.

    Returns
    -------
    dict or Failure
    """
    if digest_of(data) != digest:
        return BAD_DOCUMENT.with_reason(f"data does not have digest {digest[:12]}")
    try:
        return fields.parse_json(zlib.decompress(data))
    except (ValueError, zlib.error) as error:
        return BAD_DOCUMENT.with_reason(f"{digest[:12]}: {error}")

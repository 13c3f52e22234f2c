"""The accepted document: declarations with every version pinned to a digest."""

import fnmatch
import json
import zlib

from hawthornspoke.base import Failure, digest_of

BAD_DOCUMENT = Failure(code="bad_document")

DEFAULT_ROLLOUT = {
    "strategy": "scatter",
    "origin_copies": 1,
    "origin_scope": "fleet",
}


class ServiceView:
    """One service of the document in force, as nodes read it.

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
        """Tell whether the service is declared for a host.

        Parameters
        ----------
        host : str

        Returns
        -------
        bool
        """
        patterns = self.table["hosts"]
        return any(fnmatch.fnmatchcase(host, pattern) for pattern in patterns)

    def serves(self, organisation):
        """Tell whether an organisation may use the service.

        Parameters
        ----------
        organisation : str

        Returns
        -------
        bool
        """
        allowed = self.table["organisations"]
        return organisation in allowed or "*" in allowed

    def wanted_digests(self):
        """Return the digests that a host of this service has to hold.

        Returns
        -------
        list of str
            The base first, then the adapters.
        """
        if self.kind != "model":
            return []
        return [self.digest, *self.adapters.values()]

    def accepts(self, digest, *, adapter=""):
        """Tell whether an answer by these weights is a right one now.

        Parameters
        ----------
        digest : str
        adapter : str, default=""
            Name of the adapter that is asked for, if one is.

        Returns
        -------
        bool
            True for the declared digest and, while hosts change over, for the
            ones in force before.
        """
        if adapter:
            before = self.table.get("previous_adapters", {}).get(adapter, ())
            return digest == self.adapters.get(adapter) or digest in before
        return digest == self.digest or digest in self.previous

    def live_key(self, adapter=""):
        """Return the name under which endpoints tell what is live.

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
    """Pin declarations to digests.

    Parameters
    ----------
    tree : dict
        Checked declarations.
    digest_by_source : dict of str to str
        Digest of the manifest that each source has at acceptance.
    previous : dict or None, default=None
        The document in force before.

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


def _add_previous(table, before):
    if before is None or table["kind"] != "model":
        return
    known = [before.get("digest"), *before.get("previous", ())]
    # Two back is enough: a change of configuration during a change-over must
    # not turn the hosts that still serve the oldest version into refusals.
    others = [digest for digest in known if digest and digest != table["digest"]]
    table["previous"] = list(dict.fromkeys(others))[:2]
    table["previous_adapters"] = {}
    for adapter, digest in table["adapter_digests"].items():
        old = before.get("adapter_digests", {}).get(adapter)
        if old and old != digest:
            table["previous_adapters"][adapter] = [old]


def pack_document(document):
    """Return a document as compressed bytes, the same for equal documents.

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
    """Return the digest that names packed document bytes.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    str
    """
    return digest_of(data)


def unpack_document(data, *, digest):
    """Read a packed document after checking its digest.

    Parameters
    ----------
    data : bytes
    digest : str
        The name under which it was asked for. Any node may hand it on, since a
        wrong or cut copy can't have the right digest.

    Returns
    -------
    dict or Failure
    """
    if digest_of(data) != digest:
        return BAD_DOCUMENT.because(f"bytes are not those of {digest[:12]}")
    try:
        return json.loads(zlib.decompress(data))
    except (ValueError, zlib.error) as error:
        return BAD_DOCUMENT.because(f"{digest[:12]}: {error}")

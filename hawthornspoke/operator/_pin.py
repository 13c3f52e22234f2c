"""Pinning of weights to the manifests that their sources have at the origin now."""

from hawthornspoke.base import Failure, is_failure
from hawthornspoke.config import parse_manifest
from hawthornspoke.store import NOT_FOUND

BAD_SOURCE = Failure(code="bad_source")

MANIFEST_PREFIX = "manifests/"


def pin_sources(tree, clients):
    """Copy the manifest of each declared source to the object store.

    Parameters
    ----------
    tree : dict
    clients : PlatformClients

    Returns
    -------
    dict of str to str, list of Failure, or Failure
        Manifest digest by source. Later changes at the origin have no effect, as hosts
        accept only chunks of this manifest. A list of failures if sources are invalid,
        one failure if a request to the platform fails.
    """
    digests, failures = {}, []
    for source in sorted(_sources(tree)):
        data = clients.origin.manifest(source)
        if data == NOT_FOUND:
            failures.append(
                BAD_SOURCE.with_reason(
                    f"source {source!r} does not exist at the origin"
                )
            )
            continue
        if is_failure(data):
            return data
        manifest = parse_manifest(data)
        if is_failure(manifest):
            failures.append(BAD_SOURCE.with_reason(f"{source!r}: {manifest.reason}"))
            continue
        key = MANIFEST_PREFIX + manifest.digest
        stored = clients.objects.put(key, manifest.to_bytes())
        if is_failure(stored):
            return stored
        digests[source] = manifest.digest
    return failures or digests


def _sources(tree):
    names = set()
    for service in tree.get("services", {}).values():
        if service.get("kind") != "model":
            continue
        model = tree["models"][service["model"]]
        names.add(model["versions"][service["version"]]["source"])
        for adapter in service.get("adapters", ()):
            names.add(model["adapters"][adapter]["source"])
    return names

"""Content digests and rendezvous hashing."""

import hashlib

import xxhash


def digest_of(data):
    """Return the SHA-256 digest of some bytes.

    Parameters
    ----------
    data : bytes
        Content to identify.

    Returns
    -------
    str
        64 hexadecimal digits.
    """
    return hashlib.sha256(data).hexdigest()


def rendezvous_order(*, key, nodes):
    """Order nodes for a key by rendezvous hashing.

    The order is the same on every host that knows the same nodes.

    Parameters
    ----------
    key : str
        Identifies the item to place, for example a chunk of weights.
    nodes : iterable of str
        Names of the candidates.

    Returns
    -------
    list of str
        The nodes, the one that the key is assigned to first. Removing a node reassigns
        only the keys that were assigned to it.

    References
    ----------
    .. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6 (1), 1998.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())

    def score(node):
        return xxhash.xxh3_64_intdigest(node.encode(), seed=seed), node

    return sorted(nodes, key=score, reverse=True)

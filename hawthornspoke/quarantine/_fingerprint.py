"""Fingerprints that identify repeats of a request."""

import hashlib

#: Fingerprint size in bytes, large enough to rule out accidental collisions.
DIGEST_SIZE = 12


def fingerprint_of(*, organisation, method, host, target, body):
    """Return the fingerprint of a request, the same for all its repeats.

    Callers repeat a request under new ids and at other entry hosts. A cryptographic
    hash is required, since a caller who finds a collision with a request of another
    organisation could get that request refused.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation, empty if none is required.
    method, host, target : str
    body : bytes-like

    Returns
    -------
    str
        In hexadecimal.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in (organisation, method, host, target):
        data = part.encode(errors="surrogatepass")
        # Without the length prefix, requests whose parts differ only in where one ends
        # and the next begins would have the same fingerprint.
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()

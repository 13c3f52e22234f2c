"""What a request has in common with its repeats."""

import hashlib

#: Bytes of a fingerprint: enough that no two requests share one by chance.
SIZE = 12


def fingerprint_of(*, organisation, method, host, target, body):
    """Return what tells a request's repeats from other requests.

    Callers repeat a request under new ids and at other entry hosts. The hash is a
    cryptographic one, since a caller who found another organisation's value could get
    its requests refused.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation, empty if it needs none.
    method, host, target : str
    body : bytes-like

    Returns
    -------
    str
        In hexadecimal.
    """
    digest = hashlib.blake2b(digest_size=SIZE)
    for part in (organisation, method, host, target):
        data = part.encode(errors="surrogatepass")
        # With its length in front, no part can pass for the end of another.
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()

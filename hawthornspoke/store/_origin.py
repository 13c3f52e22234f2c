"""Client for the weight origin, from which weights are read by HTTP byte ranges."""

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import NOT_FOUND, UNAVAILABLE

MANIFEST_SUFFIX = "/manifest.json"
DATA_SUFFIX = "/weights"


class OriginClient:
    """Reads weight manifests and chunks from the origin.

    Parameters
    ----------
    http : HttpClient
    """

    __slots__ = ("http",)

    def __init__(self, *, http):
        self.http = http

    def manifest(self, source):
        """Read the current manifest of a source.

        Parameters
        ----------
        source : str

        Returns
        -------
        bytes or Failure
        """
        response = self.http.request("GET", f"/{source}{MANIFEST_SUFFIX}")
        return _response_body(response, source, expected_statuses=(200,))

    def chunk(self, source, *, start, stop, timeout):
        """Read a byte range of the weights; the caller has to verify the digest.

        Parameters
        ----------
        source : str
        start, stop : int
            Byte range; ``stop`` is exclusive.
        timeout : float
            Read timeout in seconds.

        Returns
        -------
        bytes or Failure
        """
        headers = {"Range": f"bytes={start}-{stop - 1}"}
        response = self.http.request(
            "GET", f"/{source}{DATA_SUFFIX}", headers=headers, timeout=timeout
        )
        return _response_body(response, source, expected_statuses=(206,))


def _response_body(response, source, *, expected_statuses):
    if is_failure(response):
        return response
    if response.status == 404:
        return NOT_FOUND.with_reason(f"origin has no source {source!r}")
    if response.status not in expected_statuses:
        return UNAVAILABLE.with_reason(
            f"origin returned HTTP {response.status} for {source!r}"
        )
    return response.data

"""The origin of weights: plain HTTP with byte ranges."""

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import NOT_FOUND, UNAVAILABLE

MANIFEST_SUFFIX = "/manifest.json"
DATA_SUFFIX = "/weights"


class OriginClient:
    """Reads manifests and chunks.

    Parameters
    ----------
    http : HttpClient
    """

    __slots__ = ("http",)

    def __init__(self, *, http):
        self.http = http

    def manifest(self, source):
        """Read the manifest that a source has now.

        Parameters
        ----------
        source : str

        Returns
        -------
        bytes or Failure
        """
        answer = self.http.request("GET", f"/{source}{MANIFEST_SUFFIX}")
        return _body(answer, source, accepted=(200,))

    def chunk(self, source, *, start, stop, timeout):
        """Read bytes of some weights. They are not verified here.

        Parameters
        ----------
        source : str
        start, stop : int
            First byte, and the byte after the last.
        timeout : float
            Seconds without a byte.

        Returns
        -------
        bytes or Failure
        """
        headers = {"Range": f"bytes={start}-{stop - 1}"}
        answer = self.http.request(
            "GET", f"/{source}{DATA_SUFFIX}", headers=headers, timeout=timeout
        )
        return _body(answer, source, accepted=(206,))


def _body(answer, source, *, accepted):
    if is_failure(answer):
        return answer
    if answer.status == 404:
        return NOT_FOUND.because(f"origin has no {source!r}")
    if answer.status not in accepted:
        return UNAVAILABLE.because(f"origin answered {answer.status} for {source!r}")
    return answer.data

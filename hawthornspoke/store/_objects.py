"""Client for the platform's object store: S3 REST API, path-style requests."""

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import NOT_FOUND, UNAVAILABLE


class ObjectClient:
    """Reads and writes objects in one bucket.

    Keys are derived from the content, so writes are idempotent.

    Parameters
    ----------
    http : HttpClient
    bucket : str, default="hawthornspoke"
    """

    __slots__ = ("http", "bucket")

    def __init__(self, *, http, bucket="hawthornspoke"):
        self.http = http
        self.bucket = bucket

    def put(self, key, data, *, timeout=None):
        """Write an object.

        Parameters
        ----------
        key : str
        data : bytes
        timeout : float or None, default=None

        Returns
        -------
        None or Failure
        """
        response = self.http.request(
            "PUT", f"/{self.bucket}/{key}", body=data, timeout=timeout
        )
        if is_failure(response):
            return response
        if response.status >= 300:
            return UNAVAILABLE.with_reason(
                f"{key}: HTTP {response.status}", retry_after=1.0
            )
        return None

    def get(self, key, *, timeout=None):
        """Read an object.

        Parameters
        ----------
        key : str
        timeout : float or None, default=None

        Returns
        -------
        bytes or Failure
        """
        response = self.http.request("GET", f"/{self.bucket}/{key}", timeout=timeout)
        if is_failure(response):
            return response
        if response.status == 404:
            return NOT_FOUND.with_reason(key)
        if response.status != 200:
            return UNAVAILABLE.with_reason(
                f"{key}: HTTP {response.status}", retry_after=1.0
            )
        return response.data

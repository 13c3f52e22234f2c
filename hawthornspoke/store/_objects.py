"""The platform's object store, by the S3 REST protocol (path style)."""

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import NOT_FOUND, UNAVAILABLE


class ObjectClient:
    """Objects named by their content, so that writing one twice is harmless.

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
        answer = self.http.request(
            "PUT", f"/{self.bucket}/{key}", body=data, timeout=timeout
        )
        if is_failure(answer):
            return answer
        if answer.status >= 300:
            return UNAVAILABLE.because(f"{key}: {answer.status}", retry_after=1.0)
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
        answer = self.http.request("GET", f"/{self.bucket}/{key}", timeout=timeout)
        if is_failure(answer):
            return answer
        if answer.status == 404:
            return NOT_FOUND.because(key)
        if answer.status != 200:
            return UNAVAILABLE.because(f"{key}: {answer.status}", retry_after=1.0)
        return answer.data

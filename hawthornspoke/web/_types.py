"""Request and response types of HTTP handlers."""

import json

from hawthornspoke import fields
from hawthornspoke.base import is_closed_by_peer


class Request:
    """One HTTP request.

    Parameters
    ----------
    method : str
    path : str
        Path without the query string.
    query : str
    headers : dict of str to str
        Keyed by lower-case name.
    body : bytes
    connection : socket.socket or None
        The client's socket, used only to detect a disconnect.
    """

    __slots__ = ("method", "path", "query", "headers", "body", "connection")

    def __init__(self, *, method, path, query, headers, body, connection=None):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.connection = connection

    def json(self):
        """Decode the body as JSON.

        Returns
        -------
        object or None
            None if the body is not valid JSON.
        """
        try:
            return fields.parse_json(self.body)
        except ValueError:
            return None

    def client_disconnected(self):
        """Return whether the client has closed the connection.

        Returns
        -------
        bool
        """
        return self.connection is not None and is_closed_by_peer(self.connection)


class Response:
    """HTTP response returned by a handler.

    Parameters
    ----------
    status : int, default=200
    headers : dict of str to str or None, default=None
    body : bytes or iterator of bytes, default=b""
        An iterator is streamed with chunked transfer encoding. If it raises, the
        connection is closed without the final chunk, so that the client detects the
        truncation.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, *, status=200, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


def json_response(tree, *, status=200, headers=None):
    """Create a response with a JSON body.

    Parameters
    ----------
    tree : object
    status : int, default=200
    headers : dict of str to str or None, default=None

    Returns
    -------
    Response
    """
    merged = {"Content-Type": "application/json", **(headers or {})}
    return Response(status=status, headers=merged, body=json.dumps(tree).encode())

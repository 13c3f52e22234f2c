"""A request as handlers see it, and what they return."""

import json

from hawthornspoke.base import has_hung_up


class Request:
    """One HTTP request.

    Parameters
    ----------
    method : str
    path : str
        Without the query.
    query : str
    headers : dict of str to str
        Names in lower case.
    body : bytes
    connection : socket.socket or None
        The caller's connection, only to see whether it is still there.
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
        """Return the body as JSON.

        Returns
        -------
        object or None
            None if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def caller_gone(self):
        """Tell whether the caller has closed its connection.

        Returns
        -------
        bool
        """
        return self.connection is not None and has_hung_up(self.connection)


class Response:
    """What a handler answers.

    Parameters
    ----------
    status : int, default=200
    headers : dict of str to str or None, default=None
    body : bytes or iterator of bytes, default=b""
        An iterator is sent piece by piece; if it raises, the connection is
        closed without the last chunk, so that the caller sees the cut.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, *, status=200, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


def json_response(tree, *, status=200, headers=None):
    """Return a response with a JSON body.

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

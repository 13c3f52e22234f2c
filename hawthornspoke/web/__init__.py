"""HTTP server based on cheroot, with typed requests and responses."""

from hawthornspoke.web._server import HttpServer
from hawthornspoke.web._types import Request, Response, json_response

__all__ = ["HttpServer", "Request", "Response", "json_response"]

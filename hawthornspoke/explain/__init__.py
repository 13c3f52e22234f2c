"""Walks collected logs from a request's id to its cause."""

from hawthornspoke.explain._explain import explain_request

__all__ = ["explain_request"]

"""Explains the outcome of a request from collected logs."""

from hawthornspoke.explain._explain import explain_request

__all__ = ["explain_request"]

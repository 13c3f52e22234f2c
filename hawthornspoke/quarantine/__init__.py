"""Requests that end the endpoints that run them, recognized when they come again."""

from hawthornspoke.quarantine._fingerprint import fingerprint_of

__all__ = ["fingerprint_of"]

"""Entry process: HTTP server, admission, routing, retries and responses."""

from hawthornspoke.entry._process import EntryProcess

__all__ = ["EntryProcess"]

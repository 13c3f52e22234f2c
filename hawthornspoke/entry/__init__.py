"""The entry process: callers' HTTP, admission, choice, retries, the answer."""

from hawthornspoke.entry._process import EntryProcess

__all__ = ["EntryProcess"]

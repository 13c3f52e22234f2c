"""Limits of what the platform may send."""

#: Maximum size of a response in bytes. A page has at most 500 rows or 1 MB, a refused
#: write the rows on which it depends; base64 and escapes in JSON add to that. The
#: changes of a table come in one response of any size.
MAX_PAGE_BYTES = 16 * 1024 * 1024
MAX_CHANGES_BYTES = 64 * 1024 * 1024

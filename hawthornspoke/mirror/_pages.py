"""Reading of a table that the platform divides into pages."""

from hawthornspoke.base import is_failure
from hawthornspoke.mirror._revision import era_of
from hawthornspoke.mirror._types import RESTORED

#: Maximum number of times that a read starts again since the store was restored.
MAX_RESTARTS = 3


async def read_pages(read_page, *, first_key=""):
    """Read all pages of a table; each page is a consistent snapshot.

    Parameters
    ----------
    read_page : coroutine function
        Given the first key of a page, returns an object with ``update``, the page as
        TableUpdate, and ``has_more``, whether rows follow; or a Failure.
    first_key : str, default=""

    Returns
    -------
    TableUpdate or Failure
        All rows, of one era, with the revision of the first page: following the changes
        from there on repeats newer rows of the later pages.
    """
    for _ in range(1 + MAX_RESTARTS):
        result = await _read_pages_of_era(read_page, first_key)
        if result != RESTORED:
            return result
    return result


async def _read_pages_of_era(read_page, first_key):
    result = None
    while True:
        page = await read_page(first_key)
        if is_failure(page):
            return page
        if result is not None and (
            era_of(page.update.revision) != era_of(result.revision)
        ):
            return RESTORED.with_reason("the store was restored while it was read")
        if result is None:
            result = page.update
            result.whole = True
        else:
            result.rows += page.update.rows
        first_key = _next_key(page, first_key) if page.has_more else None
        if first_key is None:
            return result


def _next_key(page, first_key):
    """Return the first key of the next page, None if it can't be determined.

    Rows with invalid keys, which have an empty one here, must not make the read start
    over.
    """
    last = max((row.key for row in page.update.rows), default="")
    return last + "\0" if last >= first_key and last != "" else None

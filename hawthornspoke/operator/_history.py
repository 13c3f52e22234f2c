"""History of accepted revisions."""

from hawthornspoke.base import is_failure
from hawthornspoke.operator._plan import CONFIG_KEY
from hawthornspoke.store import NOT_FOUND

HISTORY_PREFIX = "history#"


def read_history(clients, *, count=10):
    """Return the latest accepted revisions, newest first.

    Parameters
    ----------
    clients : PlatformClients
    count : int, default=10

    Returns
    -------
    list of dict or Failure
    """
    row = clients.table.get(CONFIG_KEY)
    if row == NOT_FOUND:
        return []
    if is_failure(row):
        return row
    rows = []
    revision = row["revision"]
    while revision > 0 and len(rows) < count:
        entry = clients.table.get(f"{HISTORY_PREFIX}{revision}")
        if is_failure(entry) and entry != NOT_FOUND:
            return entry
        if not is_failure(entry):
            rows.append(entry)
        revision -= 1
    return rows

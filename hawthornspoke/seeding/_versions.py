"""Decides which versions a seeder fetches, and in which order."""

from hawthornspoke.catalog import FIRST_VERSION, UNKNOWN_TIME


def versions_to_seed(declared, *, complete, supersede_window, version_bound, now):
    """Return the versions to fetch, the most urgent first.

    Agents drop a version in favour of one that is declared soon after it, and finish it
    first otherwise. A seeder that chose differently would hold back what they wait for.

    Parameters
    ----------
    declared : list of (int, float)
        Versions with the times of their declarations, ``UNKNOWN_TIME`` if not known;
        the oldest first.
    complete : container of int
        Versions of which all pieces are held.
    supersede_window : float
        Seconds within which the next declaration supersedes a version.
    version_bound : float
        Seconds after a declaration from which older versions are not used.
    now : float
        On the clock of the declarations.

    Returns
    -------
    list of int
        The first version if none is declared.
    """
    if not declared:
        return [FIRST_VERSION]
    newest, newest_at = declared[-1]
    versions = [newest]
    if len(declared) > 1 and now < newest_at + version_bound:
        previous, previous_at = declared[-2]
        is_superseded = (
            previous_at == UNKNOWN_TIME or newest_at - previous_at < supersede_window
        )
        if previous in complete or not is_superseded:
            versions.insert(0, previous)
    return versions

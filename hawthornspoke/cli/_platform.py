"""Platform clients for the operators' commands."""

import os
import sys

from hawthornspoke.cli import _exit_codes as codes
from hawthornspoke.node import connect_platform
from hawthornspoke.settings import load_settings


def platform_clients(file, overrides):
    """Create the platform clients from the settings.

    Parameters
    ----------
    file : pathlib.Path or None
    overrides : list of str or None

    Returns
    -------
    tuple of (PlatformClients or None, int)
        Clients and exit code. If the settings are invalid, the errors are printed and
        the clients are None.
    """
    settings, failures = load_settings(
        role="operator", file=file, environment=os.environ, flags=overrides or []
    )
    if failures:
        for failure in failures:
            print(failure.reason, file=sys.stderr)
        return None, codes.BAD_USAGE
    return connect_platform(settings.platform), codes.OK

"""Logs: lines for changes of state only, on standard error."""

import logging
import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} {level: <7} {message}"


def set_up_logs(level):
    """Send log lines of a level and above to standard error.

    Parameters
    ----------
    level : str
    """
    logger.remove()
    # Libraries log through the standard module: their lines of routine failures
    # (a refused connection, say) are counted here already.
    logging.basicConfig(level=logging.CRITICAL)
    logger.add(sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False)

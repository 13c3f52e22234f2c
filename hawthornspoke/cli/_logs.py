"""Logging to standard error; only state changes are logged."""

import logging
import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} {level: <7} {message}"


def configure_logging(level):
    """Send log lines of a level and above to standard error.

    Parameters
    ----------
    level : str
    """
    logger.remove()
    # Libraries use the logging module. Their routine failures, such as a refused
    # connection, are already counted in metrics.
    logging.basicConfig(level=logging.CRITICAL)
    logger.add(sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False)

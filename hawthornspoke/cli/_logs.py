"""Logging to standard error: state changes and unexpected errors, not each request."""

import logging
import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} {level: <7} {message}"


def configure_logging(level):
    """Log to standard error at a level and above.

    Parameters
    ----------
    level : str
    """
    logger.remove()
    # Libraries use the logging module. Their routine failures, such as a refused
    # connection, are already counted in metrics.
    logging.basicConfig(level=logging.CRITICAL)
    logger.add(sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False)

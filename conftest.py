"""Keeps the garbage collector out of the reports of tests."""

import gc

import pytest


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item, call):
    """Collect what a test has left, and nothing while its report is made.

    Reports parse source code. In Python 3.11.6 ``ast.parse`` fails if a finalizer that
    runs within it raises an exception, as those of connections do whose event loop has
    ended.
    """
    if call.when == "call":
        gc.collect()
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()

"""Callers that read long answers slowly, beside ordinary ones.

The memory that is checked is the process's and what the kernel holds for its callers.
"""

import pytest

from tests.soak.slow_readers import Crowd, check_crowd

pytestmark = pytest.mark.alone

MB = 1_000_000


def test_long_answers_with_a_length_stay_within_the_memory():
    """Guards against answers that are counted no more once they are being sent."""
    check_crowd(Crowd(kind="length", callers=60, size=6 * MB), memory_mb=120)


def test_many_answers_in_chunks_stay_within_the_memory():
    """Guards against send buffers of the kernel that exceed the memory together."""
    check_crowd(Crowd(kind="chunked", callers=300, size=MB), memory_mb=300)


def test_many_short_answers_stay_within_the_memory():
    """Guards against answers that fit into send buffers, which nobody counts."""
    check_crowd(Crowd(kind="length", callers=1200, size=MB // 5), memory_mb=200)


def test_many_streams_stay_within_the_memory():
    """Guards against streams that are read ahead of callers that don't read."""
    check_crowd(Crowd(kind="stream", callers=600, size=MB), memory_mb=200)


def test_many_requests_on_one_connection_stay_within_the_memory():
    """Guards against answers to pipelined requests that nobody reads."""
    check_crowd(Crowd(kind="length", callers=200, size=MB, requests=8), memory_mb=150)

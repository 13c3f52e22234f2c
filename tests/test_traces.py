"""Replay of all recorded traces against their expected outcomes."""

from pathlib import Path

import pytest

from hawthornspoke.replay import load_trace, replay

ROOT = Path(__file__).parent.parent / "hawthornspoke"
TRACES = sorted(ROOT.glob("*/tests/traces/*.toml"))


@pytest.mark.parametrize("file", TRACES, ids=lambda file: file.stem)
def test_trace(file):
    assert replay(load_trace(file)) == []

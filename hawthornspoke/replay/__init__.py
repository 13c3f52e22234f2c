"""Replay of traces: messages with times, and the outcomes that were stated."""

from hawthornspoke.replay._trace import (
    Step,
    Trace,
    import_machines,
    load_trace,
    replay,
)

__all__ = ["Step", "Trace", "import_machines", "load_trace", "replay"]

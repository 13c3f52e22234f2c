"""Replay of traces: timed messages with their expected outcomes."""

from hawthornspoke.replay._trace import (
    Step,
    Trace,
    import_machines,
    load_trace,
    replay,
)

__all__ = ["Step", "Trace", "import_machines", "load_trace", "replay"]

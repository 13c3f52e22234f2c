"""Structured logs: one JSON object a line, bounded, never blocking."""

from hawthornspoke.events._events import BoundedSink, EventLog
from hawthornspoke.events._reading import Reading

__all__ = ["BoundedSink", "EventLog", "Reading"]

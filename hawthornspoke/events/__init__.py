"""Structured logs: one JSON object a line, bounded, never blocking."""

from hawthornspoke.events._events import BoundedSink, EventLog

__all__ = ["BoundedSink", "EventLog"]

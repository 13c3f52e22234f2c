"""Structured logging: JSON lines with a rate limit, written without blocking."""

from hawthornspoke.events._events import BoundedSink, EventLog
from hawthornspoke.events._reading import EventReader

__all__ = ["BoundedSink", "EventLog", "EventReader"]

"""Simulated external systems with fault injection.

For tests, benchmarks and the demo only; not for production use.
"""

from hawthornspoke.standins._engine import Engine
from hawthornspoke.standins._faults import Faults
from hawthornspoke.standins._plain import PlainService
from hawthornspoke.standins._platform import Platform

__all__ = ["Engine", "Faults", "PlainService", "Platform"]

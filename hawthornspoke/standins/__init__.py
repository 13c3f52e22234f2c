"""Small stand-ins for the systems around hawthornspoke, with faults to switch on.

They serve tests, benchmarks and the demo, and are no product.
"""

from hawthornspoke.standins._engine import Engine
from hawthornspoke.standins._faults import Faults
from hawthornspoke.standins._plain import PlainService
from hawthornspoke.standins._platform import Platform

__all__ = ["Engine", "Faults", "PlainService", "Platform"]

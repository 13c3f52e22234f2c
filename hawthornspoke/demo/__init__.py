"""Demo: the whole system in one process, with simulated external systems."""

from hawthornspoke.demo._demo import run_demo

__all__ = ["run_demo"]

"""The whole system in one process, over the real sockets, with stand-ins."""

from hawthornspoke.demo._demo import run_demo

__all__ = ["run_demo"]

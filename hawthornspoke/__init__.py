"""Routes requests to inference engines and distributes weights to their hosts.

Operators declare models, versions and adapters in a folder of TOML files; entry
processes route callers' requests and agents bring the declared weights to hosts.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"

"""Command-line interface with a subcommand for each role and operator task."""

from hawthornspoke.cli._app import main

__all__ = ["main"]

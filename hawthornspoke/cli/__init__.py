"""The command line: one program, a subcommand for each role and each task."""

from hawthornspoke.cli._app import main

__all__ = ["main"]

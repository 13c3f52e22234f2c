"""Benchmarks as commands: each prints a table and checks ratios against bounds."""

"""Benchmark commands that print a table and check ratios against bounds."""

"""End-to-end tests of the system as separate processes."""

PYTHON ?= .venv/bin/python

.PHONY: binary test lint

binary:
	$(PYTHON) packaging/build_binary.py

test:
	$(PYTHON) -m pytest

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

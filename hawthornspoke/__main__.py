"""``python -m hawthornspoke``: the same as the ``hawthornspoke`` command."""

from hawthornspoke.cli import main

if __name__ == "__main__":
    main()

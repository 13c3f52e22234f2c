"""Print the settings reference page."""

from hawthornspoke.settings._reference import render_reference

if __name__ == "__main__":
    print(render_reference(), end="")

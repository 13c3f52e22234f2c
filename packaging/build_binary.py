"""Build ``dist/hawthornspoke``, a zipapp with all dependencies for the host's Python.

Run by hand::

    python packaging/build_binary.py
"""

import re
import shutil
import subprocess
import sys
import zipapp
from pathlib import Path

ROOT = Path(__file__).parent.parent
STAGING_FOLDER = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "hawthornspoke"
EXCLUDED_PATHS = re.compile(r"(/|^)(tests?|__pycache__|bin)(/|$)")


def build():
    """Install the package with its dependencies into an archive; return its path."""
    shutil.rmtree(STAGING_FOLDER, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    subprocess.run([*pip, "--target", str(STAGING_FOLDER), str(ROOT)], check=True)
    shutil.copy(ROOT / "packaging" / "binary_main.py", STAGING_FOLDER / "__main__.py")
    TARGET.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        STAGING_FOLDER,
        TARGET,
        interpreter="/usr/bin/env python3",
        compressed=True,
        filter=lambda path: not EXCLUDED_PATHS.search(str(path)),
    )
    return TARGET


if __name__ == "__main__":
    target = build()
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")

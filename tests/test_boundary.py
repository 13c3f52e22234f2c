"""The product depends on the users' platform only in its adapter, platform/adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent

#: Names from the platform's protocol, settings and roles that the product's code must
#: not use.
PLATFORM_NAMES = (
    "Attempt-Id",
    "Deadline-Ms",
    "Response-Seal",
    "Not-Executed",
    "Server-Leaving",
    "Server-Limit",
    "Server-Load",
    "Instance-Id",
    "Weight-Versions",
    "Expect-Instance",
    "Request-Priority",
    "Token-Count",
    "schemaVersion",
    "expectedRevision",
    "sampleCount",
    "rows-get",
    "rows-feed",
    "stage-put",
    "nodeName",
    "internalPorts",
    "linkMbps",
    "apiKeys",
    "maxAttempts",
    "timeoutMs",
    "sloMs",
    "modelList",
    "per_seq_ms",
)

#: Paths that may use these names. The soak test simulates the platform, so it uses the
#: platform's protocol.
ALLOWED_PATHS = (
    "platform/",
    "deploy/",
    "journal/",
    "docs/",
    "tests/soak/",
    "tests/test_boundary.py",
)


def test_platform_names_stay_in_the_adapter():
    # The product's own header X-Deadline-Ms must not match Deadline-Ms.
    choices = "|".join(re.escape(name) for name in PLATFORM_NAMES)
    pattern = re.compile(rf"(?<![\w-])({choices})\b")
    found = []
    for path in ROOT.rglob("*"):
        relative = path.relative_to(ROOT).as_posix()
        hidden = any(part.startswith(".") for part in relative.split("/"))
        skipped = hidden or relative.startswith(
            (*ALLOWED_PATHS, "target/", "build/", "dist/")
        )
        if skipped or path.suffix not in (".py", ".toml", ".thrift"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if pattern.search(line):
                found.append(f"{relative}:{number}: {line.strip()}")
    assert found == []


def test_adapter_stays_small():
    """The adapter only translates protocols; a size limit keeps decisions out of it."""
    files = (ROOT / "platform" / "adapter").glob("*.py")
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert lines < 1200

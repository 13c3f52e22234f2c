"""Names of the users' platform stand in platform/ and deploy/ only."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent

#: Names on the platform's wire, in its settings and of its roles that a reader of
#: the product must not need to know.
PLATFORM_NAMES = (
    "Attempt-Id",
    "Deadline-Ms",
    "Response-Seal",
    "Not-Executed",
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

#: The soak surrounds the programs with the platform's own protocol.
ALLOWED_PATHS = (
    "platform/",
    "deploy/",
    "journal/",
    "docs/",
    "tests/soak/",
    "tests/test_boundary.py",
)


def test_platform_names_stay_in_the_adapter():
    # The product's own X-Deadline-Ms is another name than Deadline-Ms.
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
    """The adapter only translates; decisions would make it grow."""
    files = (ROOT / "platform" / "adapter").glob("*.py")
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert lines < 1200

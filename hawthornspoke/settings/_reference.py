"""Generation of the settings reference page from the schema."""

from hawthornspoke.settings._schema import AGENT, ENTRY, PLATFORM, REQUIRED

INTRODUCTION = """# Settings

Made from the schema by `python -m hawthornspoke.settings`; a test compares.

A process reads its TOML file, then the environment (`HAWTHORNSPOKE_PORT=7700`,
`HAWTHORNSPOKE_PLATFORM_TIMEOUT=1.5`), then flags (`--set port=7700`); the later
wins. Every key is checked at start; all errors are shown at once, and the process
ends with code 2. Operators' commands need the `[platform]` table only.
"""


def render_reference():
    """Render the reference page.

    Returns
    -------
    str
        Markdown.
    """
    lines = [INTRODUCTION]
    sections = (
        ("`hawthornspoke entry`", ENTRY),
        ("`hawthornspoke agent`", AGENT),
        ("Table `[platform]`, all commands", PLATFORM),
    )
    for title, schema in sections:
        lines += [f"## {title}\n", "| key | accepted | default | meaning |"]
        lines.append("|---|---|---|---|")
        for name, setting in schema.items():
            default = (
                "required" if setting.default is REQUIRED else f"`{setting.default!r}`"
            )
            accepted = setting.bounds.describe()
            lines.append(f"| `{name}` | {accepted} | {default} | {setting.meaning} |")
        lines.append("")
    return "\n".join(lines)

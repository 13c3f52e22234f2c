"""Generation of the settings reference page from the schema."""

from hawthornspoke.settings._schema import AGENT, ENTRY, PLATFORM, REQUIRED

INTRODUCTION = """# Settings

Generated from the schema by `python -m hawthornspoke.settings`; a test compares both.

A process reads its TOML file, then the environment (`HAWTHORNSPOKE_PORT=7700`,
`HAWTHORNSPOKE_PLATFORM_TIMEOUT=1.5`), then flags (`--set port=7700`); later sources
override earlier ones. All keys are validated at start; the process reports all errors
and exits with code 2. Operators' commands need only the `[platform]` table.
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

"""Writes the settings reference of docs/operators.md from the options.

With --check it only compares, so that `make lint` fails if an option was
changed without the page.
"""

import argparse
import pathlib
import sys

from peridotyard_core import options
from peridotyard_core import settings

PAGE = pathlib.Path("docs/operators.md")
BEGIN = "<!-- options: written by tools/document_options.py -->\n"
END = "<!-- end of options -->\n"
ROLES = {
    "entry": settings.EntrySettings,
    "sidecar": settings.SidecarSettings,
}


def render() -> str:
    """Returns one Markdown table for each section of the settings files."""
    rows = {}
    for role, settings_class in ROLES.items():
        for option in options.list_options(settings_class).values():
            rows.setdefault((option.section, option.name), (option, []))[
                1
            ].append(role)
    lines = []
    section = None
    for (name, _), (option, roles) in sorted(
        rows.items(), key=lambda item: item[0]
    ):
        if name != section:
            section = name
            lines += ["", f"### [{section}]", ""]
            lines.append("| option | default | allowed | process | meaning |")
            lines.append("| --- | --- | --- | --- | --- |")
        used = "both" if len(roles) == len(ROLES) else roles[0]
        lines.append(
            f"| `{option.name}` | {_render_default(option)} |"
            f" {option.describe()} | {used} | {option.help} |"
        )
    return "\n".join(lines[1:]) + "\n"


def _render_default(option: options.Option) -> str:
    match option.default:
        case options.REQUIRED:
            return "required"
        case None | "" | ():
            return "empty"
        case bool():
            return "`yes`" if option.default else "`no`"
        case float():
            return f"`{option.default:g}`"
        case _:
            return f"`{option.default}`"


def replace_tables(page: str) -> str:
    """Returns the page with the tables of the current options.

    Raises:
        ValueError: The page lacks one of the two markers.
    """
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"{PAGE}: expected the markers {BEGIN!r} and {END!r}")
    return f"{head}{BEGIN}\n{render()}\n{END}{tail}"


def main() -> int:
    """Writes or checks the page and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check", action="store_true", help="compare, do not write"
    )
    check = parser.parse_args().check
    page = PAGE.read_text(encoding="utf-8")
    wanted = replace_tables(page)
    if not check:
        PAGE.write_text(wanted, encoding="utf-8")
    elif page != wanted:
        print(f"{PAGE}: not up to date; run tools/document_options.py")
        return 1
    print(f"{PAGE}: the settings reference is up to date")
    return 0


if __name__ == "__main__":
    sys.exit(main())

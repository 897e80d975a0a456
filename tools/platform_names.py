"""Checks that names of the users' platform occur only in its adapter.

The adapter's sources define the names: headers, paths and fields of the wire
format that are quoted there must not occur in the other packages.
"""

import pathlib
import re
import sys

ADAPTER = pathlib.Path("platform/src/peridotyard_platform")
# Headers that only this platform uses, and paths of its calls.
HEADER = re.compile(r'b"((?:x|at|api)-[a-z-]+)"')
CALL = re.compile(r'"(/[a-z]+-[a-z]+)"')
# Fields of its JSON values in mixed case, such as "kvTokenBytes".
FIELD = re.compile(r'"([a-z]+[A-Z][A-Za-z]*)"')
# Headers that are not specific to the platform.
COMMON = frozenset(("x-request-id",))


def collect_names() -> list[str]:
    """Returns patterns of the wire format's names that the adapter uses."""
    headers, others = set(), set()
    for path in ADAPTER.glob("*.py"):
        text = path.read_text(encoding="utf-8")
        headers |= set(HEADER.findall(text))
        others |= set(CALL.findall(text)) | set(FIELD.findall(text))
    # Headers are case-insensitive; fields are not, since "loadS" must not match
    # json.loads.
    patterns = [f"(?i:{re.escape(name)})" for name in headers - COMMON]
    return sorted(patterns + [re.escape(name) for name in others])


def find_violations(names: list[str]) -> list[str]:
    """Returns a message for each use of a name outside the adapter."""
    quoted = re.compile("|".join(names))
    violations = []
    for path in sorted(pathlib.Path("packages").rglob("*.py")):
        if "generated" in path.parts:
            continue
        lines = path.read_text(encoding="utf-8").splitlines()
        for number, line in enumerate(lines, 1):
            found = quoted.search(line)
            if found:
                violations.append(
                    f"{path}:{number}: the platform's name {found.group()};"
                    f" decode it in {ADAPTER}"
                )
    return violations


def main() -> int:
    """Prints the violations and returns the exit status."""
    names = collect_names()
    if not names:
        print("platform names: the adapter's sources were not found")
        return 1
    violations = find_violations(names)
    print(
        "\n".join(violations) or f"platform names: {len(names)}, none outside"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

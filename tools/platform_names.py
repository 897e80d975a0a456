"""Checks that names of the users' platform stay in the adapter.

The adapter's own sources are the list: quoted wire names that occur there as
headers, calls and tables may not occur in the other packages.
"""

import pathlib
import re
import sys

ADAPTER = pathlib.Path("platform/src/peridotyard_platform")
# Headers that only this platform has, and paths of its calls.
HEADER = re.compile(r'b"((?:x|at|api)-[a-z-]+)"')
CALL = re.compile(r'"(/[a-z]+-[a-z]+)"')
# Fields of its JSON values in mixed case, such as "kvTokenBytes".
FIELD = re.compile(r'"([a-z]+[A-Z][A-Za-z]*)"')
# Headers that are no invention of the platform.
COMMON = frozenset(("x-request-id",))


def collect_names() -> list[str]:
    """Returns patterns of the wire names that the adapter uses."""
    headers, others = set(), set()
    for path in ADAPTER.glob("*.py"):
        text = path.read_text(encoding="utf-8")
        headers |= set(HEADER.findall(text))
        others |= set(CALL.findall(text)) | set(FIELD.findall(text))
    # The case of a header does not matter; "loadS" is not json.loads.
    patterns = [f"(?i:{re.escape(name)})" for name in headers - COMMON]
    return sorted(patterns + [re.escape(name) for name in others])


def find_violations(names: list[str]) -> list[str]:
    """Returns the places outside the adapter that use one of the names."""
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
    """Prints each place and returns the exit status."""
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

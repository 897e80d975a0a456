"""Checks that modules are imported, not names, as the style guide requires.

The guide's exceptions for names from `typing` and `collections.abc` are not
used in this project.
"""

import ast
import importlib.util
import pathlib
import sys

FOLDERS = ("packages", "platform", "tests", "bench", "tools")


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns a message for each import of a name from a module."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    violations = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == "__future__":
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                violations.append(
                    f"{path}:{node.lineno}: imports the name {alias.name}"
                    f" from {node.module}; import the module"
                )
    return violations


def is_module(name: str) -> bool:
    """Returns whether a dotted name is an importable module."""
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def main() -> int:
    """Prints the violations and returns the exit status."""
    sys.path.insert(0, ".")
    violations = []
    for folder in FOLDERS:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            if "generated" not in path.parts and "build" not in path.parts:
                violations += find_name_imports(path)
    print("\n".join(violations) or "imports: only modules are imported")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

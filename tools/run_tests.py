"""Runs pytest and behave and prints a common summary line.

Failures of the tests that KNOWN-RED.txt lists are printed but do not fail the
run.
"""

import pathlib
import re
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def read_known_red() -> set[str]:
    """Returns the names of the listed tests: lines that begin with "test: "."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (.+?)\s*$", KNOWN_RED.read_text(), re.M))


# Last lines of a failed test's error that are repeated in the summary.
ERROR_LINES = 40


def run(
    command: list[str], report: pathlib.Path, errors: dict[str, str]
) -> tuple[dict, int]:
    """Runs a test program that writes JUnit reports.

    Args:
        command: The program and its arguments.
        report: JUnit file, or directory of such files, that it writes.
        errors: Receives the error text of each failed test, by test name.

    Returns:
        Whether each test passed, by name, and the program's exit status.
    """
    status = subprocess.run(command, check=False).returncode
    results = {}
    files = sorted(report.glob("*.xml")) if report.is_dir() else [report]
    for file in files:
        if not file.exists():
            continue
        for case in ElementTree.parse(file).iter("testcase"):
            if case.find("skipped") is not None:
                continue
            name = f"{case.get('classname')}.{case.get('name')}"
            problem = case.find("failure")
            if problem is None:
                problem = case.find("error")
            results[name] = problem is None
            if problem is not None:
                text = f"{problem.get('message')}\n{problem.text}"
                errors[name] = text.strip()
    return results, status


def main() -> int:
    """Runs all tests and returns the exit status."""
    python = sys.executable
    errors: dict[str, str] = {}
    with tempfile.TemporaryDirectory() as folder:
        unit = pathlib.Path(folder, "pytest.xml")
        features = pathlib.Path(folder, "behave")
        features.mkdir()
        results, unit_status = run(
            [python, "-m", "pytest", f"--junitxml={unit}", *sys.argv[1:]],
            unit,
            errors,
        )
        behave_status = 0
        if any(pathlib.Path("tests/features").glob("*.feature")):
            more, behave_status = run(
                [python, "-m", "behave", "--junit", "--junit-directory"]
                + [str(features), "-f", "progress", "tests/features"],
                features,
                errors,
            )
            results |= more
    failed = sorted(name for name, passed in results.items() if not passed)
    known = read_known_red()
    unexpected = [name for name in failed if name not in known]
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
        for line in errors[name].splitlines()[-ERROR_LINES:]:
            print(f"    {line}")
    for name in sorted(known & results.keys() - set(failed)):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = len(results) - len(failed)
    # An error in collection leaves no test case and must not count as a pass.
    broken = (unit_status not in (0, 1) or behave_status not in (0, 1)) or (
        not failed and (unit_status or behave_status)
    )
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or broken or not results else 0


if __name__ == "__main__":
    sys.exit(main())

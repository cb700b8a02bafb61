"""Runs the workspace's tests and doctests and prints a closing line with the counts.

Usage: ``python -m medlargate_standins.run_tests [PATTERN]``. With PATTERN, only test
modules whose names contain it are run, and no doctests.
"""

from __future__ import annotations

import doctest
import importlib
import logging
import pkgutil
import sys
import time
import unittest
from pathlib import Path

import medlargate
import medlargate_ctl

import medlargate_standins

PACKAGES = (medlargate, medlargate_ctl, medlargate_standins)
KNOWN_RED = "KNOWN-RED.txt"
SLOW_TEST = 5.0  # seconds above which a test is reported as slow


class _Result(unittest.TextTestResult):
    """Test result that counts passed tests and reports slow ones."""

    n_passed = 0
    _started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        """Record the start time of a test."""
        super().startTest(test)
        self._started_at = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:
        """Print the id and duration of a slow test."""
        super().stopTest(test)
        elapsed = time.monotonic() - self._started_at
        if elapsed > SLOW_TEST:
            print(f"slow: {test.id()} {elapsed:.1f} s", file=sys.stderr)

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Count a passed test."""
        super().addSuccess(test)
        self.n_passed += 1


def _list_module_names() -> list[str]:
    names = []
    for package in PACKAGES:
        for info in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            if not info.name.endswith("__main__"):
                names.append(info.name)
    return sorted(names)


def make_suite(pattern: str = "") -> unittest.TestSuite:
    """Collect the test cases, and the doctests if there is no pattern.

    Parameters
    ----------
    pattern : str, default=""
        Substring of the names of the test modules to run; empty to run all test
        modules and doctests.

    Returns
    -------
    unittest.TestSuite
        Tests and doctests, ordered by module name.
    """
    suite = unittest.TestSuite()
    loader = unittest.defaultTestLoader
    for name in _list_module_names():
        is_test = name.rpartition(".")[2].startswith("test_")
        if is_test and pattern in name:
            suite.addTests(loader.loadTestsFromName(name))
        elif not pattern and not is_test and name != __name__:
            suite.addTests(doctest.DocTestSuite(importlib.import_module(name)))
    return suite


def read_known_red(path: Path) -> set[str]:
    """Read the ids of the tests that are known to fail.

    Parameters
    ----------
    path : Path
        File with one entry for each test, which begins with a line ``test: ID``.

    Returns
    -------
    set of str
        Ids of the listed tests; empty if the file does not exist.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line[5:].split()[0] for line in lines if line.startswith("test:")}


def main() -> int:
    """Run the tests and print failures and the closing line.

    Returns
    -------
    int
        Exit status: 0 if no test failed except those listed in ``KNOWN-RED.txt``, 1
        otherwise.
    """
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    # Hides log lines; assertLogs would see none if logging were disabled.
    logging.getLogger().addHandler(logging.NullHandler())
    runner = unittest.TextTestRunner(sys.stderr, resultclass=_Result, verbosity=0)
    result = runner.run(make_suite(pattern))
    failed = [test.id() for test, _ in result.failures + result.errors]
    known = read_known_red(Path(KNOWN_RED))
    for test in failed:
        print(f"{'known red' if test in known else 'failed'}: {test}")
    n_failed = sum(test not in known for test in failed)
    for test in sorted(known - set(failed)) if not pattern else ():
        print(f"listed in {KNOWN_RED} but not failing: {test}")
    print(f"{result.n_passed} passed, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())

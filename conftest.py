"""Skips exactly the tests that are listed in KNOWN-RED.txt, and prints them.

An entry of that file starts with a line `test: NODE-ID`. If all tests are collected, an entry that
names none of them is an error, so that the list cannot become outdated.
"""

from pathlib import Path

import pytest

KNOWN_FAILURES = Path(__file__).parent / "KNOWN-RED.txt"


def _known_failures():
    if not KNOWN_FAILURES.exists():
        return []
    lines = KNOWN_FAILURES.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config, items):
    known_failures = _known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))
    stale = set(known_failures) - {item.nodeid for item in items}
    if stale and not config.args_source == pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"KNOWN-RED.txt names unknown tests: {', '.join(sorted(stale))}")


def pytest_terminal_summary(terminalreporter):
    for node_id in _known_failures():
        terminalreporter.write_line(f"known red, not run: {node_id}")

"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them.

An entry of that file starts with a line `test: NODE-ID`. An entry that names no collected test is
an error when all tests are collected, so that the list cannot go stale.
"""

from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"


def _listed():
    if not LIST.exists():
        return []
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config, items):
    listed = _listed()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))
    stale = set(listed) - {item.nodeid for item in items}
    if stale and not config.args_source == pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"KNOWN-RED.txt names unknown tests: {', '.join(sorted(stale))}")


def pytest_terminal_summary(terminalreporter):
    for node_id in _listed():
        terminalreporter.write_line(f"known red, not run: {node_id}")

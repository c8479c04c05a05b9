"""Guards against committed generated files that are out of date with their schema."""

import pytest

from codegen import render_all

TEXTS = render_all()


@pytest.mark.parametrize("path", TEXTS, ids=lambda path: path.name)
def test_generated_file_is_current(path):
    assert path.read_text(encoding="utf-8") == TEXTS[path], "run `make generate`"

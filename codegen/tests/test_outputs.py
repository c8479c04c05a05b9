"""Guards against committed generated code that no longer matches its schema."""

import pytest

from codegen import render_all

TEXTS = render_all()


@pytest.mark.parametrize("path", TEXTS, ids=lambda path: path.name)
def test_generated_file_is_current(path):
    assert path.read_text(encoding="utf-8") == TEXTS[path], "run `make generate`"

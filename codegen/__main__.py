"""Writes every generated file."""

from codegen import render_all

for path, text in render_all().items():
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")

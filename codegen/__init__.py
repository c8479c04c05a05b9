"""Generators of code and documentation from the schemas in `anviltray/schema/`.

Run them with `make generate`. Their output is committed, so that a build does not need them; a test
checks that the output is up to date.
"""

from codegen._outputs import OUTPUTS, Output, render_all

__all__ = ["OUTPUTS", "Output", "render_all"]

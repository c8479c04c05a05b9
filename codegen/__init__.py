"""Generators for the code that comes from `anviltray/schema/`.

Run them with `make generate`. Their output is committed, so the build needs no generator; a test
checks that it is current.
"""

from codegen._outputs import OUTPUTS, Output, render_all

__all__ = ["OUTPUTS", "Output", "render_all"]

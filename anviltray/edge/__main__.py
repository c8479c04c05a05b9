"""Entry point of `python -m anviltray.edge`."""

import gc

# Imports create many objects and hardly any garbage, so collections would find nothing.
gc.disable()

from anviltray.edge import main  # noqa: E402

# The imported objects live as long as the process, so later collections need not visit them.
gc.freeze()
gc.enable()

main()

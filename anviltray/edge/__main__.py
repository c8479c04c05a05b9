"""Entry point of `python -m anviltray.edge`."""

from anviltray.edge import main

main()

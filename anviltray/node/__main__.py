"""`python -m anviltray.node SETTINGS`."""

from anviltray.node import main

if __name__ == "__main__":
    main()

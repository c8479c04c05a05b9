"""Entry point of `python -m anviltray_cli`."""

from anviltray_cli import main

if __name__ == "__main__":
    main()

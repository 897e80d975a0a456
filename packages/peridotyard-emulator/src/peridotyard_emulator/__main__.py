"""Runs `python -m peridotyard_emulator`."""

import sys

from peridotyard_emulator import main

if __name__ == "__main__":
    sys.exit(main.main())

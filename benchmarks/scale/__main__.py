"""`python -m benchmarks.scale`."""

import sys

from benchmarks.scale.commands import main

if __name__ == "__main__":
    sys.exit(main())

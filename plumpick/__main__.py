"""`python -m plumpick`: the daemon, with its decisions compiled where `build` could compile them."""

import sys

from plumpick.gateway import compiled


def main() -> int:
    """The exit code."""
    which = compiled.use_compiled_files()
    from plumpick.gateway import daemon  # only now: it imports the decisions

    return daemon.main(which)


if __name__ == "__main__":
    sys.exit(main())

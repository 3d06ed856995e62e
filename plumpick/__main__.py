"""`python -m plumpick`: the gateway daemon, which uses the compiled decision module if `build` made one."""

import sys

from plumpick.gateway import compiled


def main() -> int:
    """Run the daemon; returns the exit code."""
    which = compiled.use_compiled_files()
    # The daemon imports the decision module, so it must be imported after the choice of the compiled files.
    from plumpick.gateway import daemon

    return daemon.main(which)


if __name__ == "__main__":
    sys.exit(main())

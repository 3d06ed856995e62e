"""The daemon: sockets, signals and files round the decisions of plumpick.policy."""

"""The daemon: sockets, signals and files round the decisions of plumpick.policy, and no decision of its own."""

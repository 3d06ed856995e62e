"""The gateway process: sockets, signals and files. All decisions are made by plumpick.policy."""

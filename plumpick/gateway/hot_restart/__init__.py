"""Two processes of one gatekeeper during an upgrade: sockets and state passed over."""

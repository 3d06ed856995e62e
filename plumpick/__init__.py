"""plumpick: a gatekeeper on real sockets round the decisions of anisefront."""

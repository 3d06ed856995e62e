"""Hot restart: from one process of a gateway to the next, without a gap for its clients."""

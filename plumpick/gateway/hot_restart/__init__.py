"""Hot restart: replaces the process of a gateway by a new one without interrupting its clients."""

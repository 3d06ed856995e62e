"""Settings in force without a restart: versions from a service. Nothing here is imported unless the
operator's own file has a [configuration]."""

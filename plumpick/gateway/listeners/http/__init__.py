"""The HTTP/1.1 listener: client connections, limits on them, and validation of requests."""

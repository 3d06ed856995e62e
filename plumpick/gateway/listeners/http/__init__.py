"""Requests over HTTP/1.1: connections, what a request must look like, which connections may stay."""

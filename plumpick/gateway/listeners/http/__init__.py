"""Requests over HTTP/1.1: connections, what a request has to look like, which connections may stay."""

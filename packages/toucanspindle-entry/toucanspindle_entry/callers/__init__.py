"""Requests of callers: connections, routing, and the way of a request through its attempts."""

"""Slot scheduling: the broker of a service, and the client that asks it for slots."""

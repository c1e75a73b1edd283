"""Targets: their registrations, connections, health estimates, and what they say of themselves."""

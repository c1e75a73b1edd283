"""Stand-ins for tests and demonstrations; not for production."""

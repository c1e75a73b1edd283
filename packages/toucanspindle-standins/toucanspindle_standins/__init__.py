"""Stand-ins for the platform and targets, for tests and demonstrations; not for production."""

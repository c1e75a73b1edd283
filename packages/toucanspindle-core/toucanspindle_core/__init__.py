"""Code shared by all processes: models, settings, error codes and pure decision logic."""

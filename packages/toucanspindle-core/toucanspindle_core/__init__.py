"""Shared code of toucanspindle: models, settings, error codes and pure decision logic."""

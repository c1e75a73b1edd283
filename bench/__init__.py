"""Measurements of the fleet; see docs/MEASUREMENTS.md."""

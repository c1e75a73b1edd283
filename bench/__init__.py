"""Benchmarks of the fleet; docs/MEASUREMENTS.md describes them and their results."""

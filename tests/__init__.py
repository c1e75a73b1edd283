"""Tests of toucanspindle."""

"""Specifications of the core protocols, explored by a model checker."""

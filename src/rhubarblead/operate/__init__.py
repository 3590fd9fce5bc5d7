"""Implementations of the operator commands."""

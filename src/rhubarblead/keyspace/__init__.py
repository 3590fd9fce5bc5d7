"""Decisions on which instance holds which keys, without input or output."""

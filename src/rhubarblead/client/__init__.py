"""A routing client for callers, which sends requests directly to owners."""

"""A routing client to embed in callers, which sends straight to owners."""

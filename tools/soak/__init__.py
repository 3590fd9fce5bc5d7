"""Randomized faults on real processes of the router, with checks as it runs."""

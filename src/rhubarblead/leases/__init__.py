"""Leases by promises: who may believe to own what, and who may take it over."""

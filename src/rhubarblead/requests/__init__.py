"""Decisions on requests: at most once, retries, admission, balance."""

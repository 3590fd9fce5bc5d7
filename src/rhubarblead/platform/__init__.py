"""Adapter to the platform: names, data formats and calls, without policy."""

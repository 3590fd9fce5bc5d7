"""Reads what the users' bench writes: its journal and the logs of its days."""

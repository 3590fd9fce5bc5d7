"""Numbered events: the catalogue, the event log and its time line."""

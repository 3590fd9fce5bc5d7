"""Numbered events: their catalogue, the log and the time line of a process."""

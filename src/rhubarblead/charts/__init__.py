"""State charts, kept in JSON files beside this module."""

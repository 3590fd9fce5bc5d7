"""State charts, stored as JSON files in this package."""

"""Examples of using the package."""

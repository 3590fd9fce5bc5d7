"""Examples of embedding parts of the package in other programs."""

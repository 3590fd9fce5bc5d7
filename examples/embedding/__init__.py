"""Examples of how to embed components of the package in other programs."""

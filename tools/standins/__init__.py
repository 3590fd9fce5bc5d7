"""Stand-ins for the systems that the product meets."""

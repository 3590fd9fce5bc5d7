"""Stand-ins for the external systems that the product connects to."""

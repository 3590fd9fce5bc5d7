"""Member leases based on the promises of granters, and evictions."""

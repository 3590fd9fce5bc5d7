"""HTTP client for, and health monitoring of, the upstream of a node."""

"""Open-loop load on a deployment, and its measurement."""

"""The way of a request through a node, from its caller to the upstream."""

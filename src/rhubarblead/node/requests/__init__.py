"""The request path of a node, from the caller to the upstream."""

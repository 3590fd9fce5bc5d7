"""A router, and its parts, for servers that own keys exclusively."""

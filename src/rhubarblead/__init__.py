"""A request router for servers that own keys exclusively."""

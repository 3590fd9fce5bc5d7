"""The node daemon: its tasks, its request path and their assembly."""

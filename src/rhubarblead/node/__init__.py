"""The node daemon: tasks, request path and their wiring."""

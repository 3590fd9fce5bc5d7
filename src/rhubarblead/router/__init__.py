"""The router daemon that stands beside one server on the users' platform."""

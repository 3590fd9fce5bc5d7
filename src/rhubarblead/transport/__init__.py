"""Messaging between nodes over ZeroMQ."""

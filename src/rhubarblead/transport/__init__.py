"""Links between nodes over zmq."""

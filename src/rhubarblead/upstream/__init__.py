"""What a node needs to speak with the upstream beside it."""

"""Acquires, holds and hands over the shards that a node owns."""

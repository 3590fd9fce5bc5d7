"""Shard assignment: rebalancing plans, handovers and hot-key splits."""

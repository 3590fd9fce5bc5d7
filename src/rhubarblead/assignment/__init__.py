"""Assignment of shards to members: plans, handovers and hot keys."""

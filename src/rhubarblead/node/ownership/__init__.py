"""How a node comes to own shards, keeps them and gives them away."""

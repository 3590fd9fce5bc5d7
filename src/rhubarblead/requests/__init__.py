"""Request decisions: deduplication, retries, admission and balancing."""

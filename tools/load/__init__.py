"""Load on a deployment by open-loop callers, and what it measured."""

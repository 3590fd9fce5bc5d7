"""Soak tests: random faults on real router processes, followed by an audit."""

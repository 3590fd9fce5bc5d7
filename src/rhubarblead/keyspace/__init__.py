"""Pure decision logic for assigning keys to servers; performs no I/O."""

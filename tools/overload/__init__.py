"""Simulates one service under a recorded load, with the router's decisions."""

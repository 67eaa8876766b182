"""Slow start of new and recovered targets."""

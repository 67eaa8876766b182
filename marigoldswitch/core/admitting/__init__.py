"""Admission while capacity is short: who is served first, and who is refused."""

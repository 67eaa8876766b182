"""Helpers of the review's scripts: processes, stand-ins and clients on loopback."""

"""The gateway: callers' requests passed on to targets that a platform lists."""

"""Set-up of all tests: hypothesis with the same examples every time."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("ci")

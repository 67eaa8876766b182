"""Scripts of the independent review; no part of the product."""

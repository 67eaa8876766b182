"""Settings of the C library's allocator."""

import ctypes

LARGE_BLOCK_BYTES = 131_072
TRIM_THRESHOLD = -1
"""``M_TRIM_THRESHOLD`` of ``mallopt``."""
MMAP_THRESHOLD = -3
"""``M_MMAP_THRESHOLD`` of ``mallopt``."""


def release_large_blocks() -> None:
    """Have memory of large blocks given back to the system once they are freed.

    By default glibc raises the size from which it does so to that of the largest block
    freed so far, after which freed bodies stay in the heap, in pieces.
    """
    library = ctypes.CDLL(None)
    if not hasattr(library, "mallopt"):
        # Other C libraries have no such limit.
        return
    library.mallopt(MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    library.mallopt(TRIM_THRESHOLD, LARGE_BLOCK_BYTES)

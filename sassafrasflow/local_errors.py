"""Errors of a new connection whose cause is this host.

They say nothing about the remote end.
"""

import errno

__all__ = ["LOCAL_ERRORS"]

# This host lacks descriptors, memory or local ports.
LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)

"""TLS context that all clients of an instance share.

Loading the certificate store takes tens of milliseconds of the loop, so
it must not happen once for each target.
"""

import functools
import ssl

__all__ = ["shared_context"]


@functools.cache
def shared_context() -> ssl.SSLContext:
    """Return the context, loading the certificate store the first time."""
    return ssl.create_default_context()

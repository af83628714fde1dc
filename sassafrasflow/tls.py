"""TLS context that all clients of an instance share.

Loading the certificate store blocks the event loop for tens of
milliseconds, so it must not be done once for each target.
"""

import functools
import ssl

__all__ = ["shared_context"]


@functools.cache
def shared_context() -> ssl.SSLContext:
    """Return the context; the first call loads the certificate store."""
    return ssl.create_default_context()

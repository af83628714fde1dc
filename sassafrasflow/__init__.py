"""Serving system for long model generations on engines that fail.

The subpackages are libraries that other programs can embed; the
``sassafrasflow`` command runs them together as one instance.
"""

__version__ = "0.1.0"

"""Adapter to the users' platform: translates names, formats and calls only.

No code outside this package uses a name of the platform.
"""

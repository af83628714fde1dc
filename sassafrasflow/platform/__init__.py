"""Adapter to the users' platform: names, formats and calls, no decision.

Nothing outside this package knows a name of the platform.
"""

"""Data path of an entry instance in front of listed targets.

A gateway takes HTTP/1.1 requests from callers, places each on a target and
returns the target's answer. A resumable stream goes on at another target
when its own dies. Decisions are pure functions of their arguments; sockets
are in ``callers`` and ``connections``.
"""

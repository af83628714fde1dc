"""Data path of an entry instance in front of listed targets.

A gateway accepts HTTP/1.1 requests from callers, places each on a target and
returns the target's answer. A resumable stream is continued at another target
when its own target fails. Decisions are pure functions of their arguments;
sockets are in ``callers`` and ``connections``.
"""

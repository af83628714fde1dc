"""Whether and when a target can accept a request.

Decisions are pure functions of their arguments: the clock, the random source
and the figures of the targets.
"""

"""Fake platform, engines and services.

The demo, the tests and the benchmarks use them; the daemon never does.
"""

"""Benchmarks; each module prints one JSON object a line."""

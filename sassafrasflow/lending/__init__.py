"""Lend retries between the instances of a data centre."""

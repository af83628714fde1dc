"""Versions that serve callers while another version is on trial."""

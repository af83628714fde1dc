"""Estimates of the speed of targets from the times of their responses."""

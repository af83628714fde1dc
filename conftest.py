"""Shared test configuration and fixtures."""

import hypothesis
import pytest

from sassafrasflow.fakes import processes

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
async def deployment():
    """Start a platform process and end all processes after the test."""
    async with processes.Deployment() as running:
        yield running

"""Fixtures of the adapter's tests."""

import pytest

from sassafrasflow.platform.tests import fleets


@pytest.fixture
async def fleet():
    """Start a store and close every part afterwards."""
    async with fleets.Fleet() as running:
        yield running

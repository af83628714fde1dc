"""Fixtures of the adapter's tests."""

import pytest

from sassafrasflow.platform.tests import standins


@pytest.fixture
async def fleet():
    """Start a store and close every part afterwards."""
    async with standins.Fleet() as running:
        yield running

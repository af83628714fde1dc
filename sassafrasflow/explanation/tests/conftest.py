"""Fixtures of the tests of explanations."""

import pytest

from sassafrasflow.platform.tests import fleets


@pytest.fixture
async def fleet():
    """Start a fleet with a store, and close all its components afterwards."""
    async with fleets.Fleet() as running:
        yield running

"""Tests of the HTTP client of engines: what its errors state."""

import asyncio
import errno

import pytest

from sassafrasflow import engines
from sassafrasflow import exceptions


async def fail_to_connect(monkeypatch, number):
    """Return the error of a stream whose connection attempt fails."""

    async def connect(*_):
        raise OSError(number, errno.errorcode[number])

    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "sock_connect", connect)
    client = engines.HttpEngine("http://127.0.0.1:9")
    try:
        with pytest.raises(exceptions.TargetError) as caught:
            async for _ in client.resume("g", 1, 0):
                raise AssertionError("an event without a connection")
    finally:
        await client.close()
    return caught.value


class TestConnectionAttempts:
    """A shortage of this host must not count as a crash of the engine.

    Two such crashes refuse the request as one that crashes its targets.
    """

    @pytest.mark.parametrize(
        "number",
        [errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS],
    )
    async def test_local_shortage_is_no_crash(self, monkeypatch, number):
        error = await fail_to_connect(monkeypatch, number)
        assert type(error) is exceptions.TargetRefused

    async def test_refused_connection_shows_that_nothing_listens(
        self, monkeypatch
    ):
        error = await fail_to_connect(monkeypatch, errno.ECONNREFUSED)
        assert type(error) is exceptions.TargetDown

"""Tests of the exceptions that the platform's client raises."""

import httpx
import pytest

from sassafrasflow import exceptions
from sassafrasflow import storage

UNAVAILABLE = exceptions.TableUnavailable
UNKNOWN = exceptions.TableOutcomeUnknown
CONFLICT = exceptions.TableConflict

# Answer from the platform's address, then the exception of a read and of a
# write. A write that was not applied must never look like one that was.
FAULTS = [
    (httpx.Response(409), CONFLICT, CONFLICT),
    (httpx.Response(503), UNAVAILABLE, UNAVAILABLE),
    (httpx.Response(500), UNAVAILABLE, UNKNOWN),
    (httpx.Response(404), UNAVAILABLE, UNAVAILABLE),
    (httpx.Response(401), UNAVAILABLE, UNAVAILABLE),
    (httpx.Response(302), UNAVAILABLE, UNAVAILABLE),
    (httpx.Response(101), UNAVAILABLE, UNKNOWN),
    (httpx.Response(99), UNAVAILABLE, UNKNOWN),
    (httpx.Response(600), UNAVAILABLE, UNKNOWN),
    (httpx.Response(200, content=b"<html>"), UNAVAILABLE, None),
    (httpx.ConnectError("refused"), UNAVAILABLE, UNAVAILABLE),
    (httpx.ConnectTimeout("slow"), UNAVAILABLE, UNAVAILABLE),
    (httpx.ReadTimeout("slow"), UNAVAILABLE, UNKNOWN),
    (httpx.RemoteProtocolError("cut"), UNAVAILABLE, UNKNOWN),
]


def client(answer):
    def respond(_):
        if isinstance(answer, Exception):
            raise answer
        return answer

    return storage.PlatformClient(
        "http://platform", transport=httpx.MockTransport(respond)
    )


class TestFaults:
    @pytest.mark.parametrize(("answer", "on_read", "on_write"), FAULTS)
    async def test_each_raises_its_own_error(self, answer, on_read, on_write):
        with pytest.raises(on_read):
            await client(answer).get("row")
        with pytest.raises(on_read):
            await client(answer).instances()
        writing = client(answer).transact([], [storage.Write("row", b"")])
        if on_write is None:
            await writing
        else:
            with pytest.raises(on_write):
                await writing

    async def test_missing_object_is_none(self):
        assert await client(httpx.Response(404)).load_object("a") is None

"""Tests of the fault proxy."""

import asyncio

from sassafrasflow.fakes import proxy

HOST = "127.0.0.1"


class TestPartition:
    async def test_connection_opened_during_partition_is_aborted(self):
        async def echo(reader, writer):
            received = await reader.read(1)
            await partitioned.wait()
            writer.write(received)

        partitioned = asyncio.Event()

        server = await asyncio.start_server(echo, HOST, 0)
        relay = proxy.FaultProxy(HOST, server.sockets[0].getsockname()[1])
        await relay.start()
        # Partition after each number of event loop iterations, since the
        # proxy needs several to open its upstream connection.
        for iterations in range(12):
            reader, writer = await asyncio.open_connection(HOST, relay.port)
            writer.write(b"x")
            for _ in range(iterations):
                await asyncio.sleep(0)
            relay.partition()
            partitioned.set()
            try:
                answer = await reader.read(1)
            except ConnectionResetError:
                answer = b""
            assert answer == b""
            writer.close()
            relay.heal()
            partitioned.clear()
        await relay.close()
        server.close()

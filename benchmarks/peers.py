"""Cost of shared state and how fast news spreads.

Real nodes talk over loopback TCP in one process; larger clusters use
in-memory links and a manual clock. Every line has the sizes and the seed;
the last lines are slopes fitted over the sizes.

Bytes of in-memory nodes are encoded payloads plus the overhead of a call,
which the first line measures on a proxied TCP connection.
"""

import argparse
import asyncio
from collections.abc import Iterator
import gc
import json
import math
import random
import resource
import statistics
import time
from typing import Any

import psutil

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import peers
from sassafrasflow.fakes import clusters
from sassafrasflow.fakes import proxy
from sassafrasflow.membership import codec

REAL_SIZES = (3, 9, 18, 36)
MEMORY_SIZES = (100, 400, 1_500)
CENTRES = 9
IDLE_S = 10.0
LOADED_S = 15.0
SETTLE_S = 7.0
CHANGES_PER_DAY = 4_200
DAY_S = 86_400
# Changes come this much faster than on an ordinary day.
COMPRESSION = 10
VALUE = b"x" * 200
OVERHEAD_CALLS = 500
SPREAD_LIMIT_S = 30.0
MS_PER_S = 1_000
KIB = 1024

Line = dict[str, Any]


def main() -> None:
    """Print one JSON object a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--sizes",
        type=int,
        nargs="*",
        default=[*REAL_SIZES, *MEMORY_SIZES],
    )
    args = parser.parse_args()
    overhead = asyncio.run(measure_overhead())
    emit({"measure": "call_overhead_bytes", "value": overhead})
    lines = []
    for size in args.sizes:
        for line in measure(size, args.seed, overhead):
            emit(line)
            lines.append(line)
    for line in slopes(lines):
        emit(line)


def emit(line: Line) -> None:
    """Print one line."""
    print(json.dumps({"bench": "peers", **line}), flush=True)


def measure(size: int, seed: int, overhead: float) -> Iterator[Line]:
    """Yield the idle and the loaded line of a size."""
    if size in MEMORY_SIZES or size > max(REAL_SIZES):
        yield from measure_memory(size, seed, overhead)
    else:
        yield from asyncio.run(measure_real(size, seed, overhead))


async def measure_overhead() -> float:
    """Return the bytes of a call on the wire beyond its payloads."""
    nodes = [_new_node(name, 0) for name in ("a", "b")]

    async def echo(caller: ids.InstanceId, payload: bytes) -> bytes:
        return payload

    nodes[1].register_handler("gossip", echo)
    for node in nodes:
        await node.start()
    relay = proxy.FaultProxy("127.0.0.1", nodes[1].port)
    await relay.start()
    payload = b"x" * 104
    await nodes[0].call(relay.address, "gossip", payload, 5)
    before = sum(relay.relayed_bytes.values())
    for _ in range(OVERHEAD_CALLS):
        await nodes[0].call(relay.address, "gossip", payload, 5)
    passed = sum(relay.relayed_bytes.values()) - before
    for node in nodes:
        await node.close()
    await relay.close()
    return passed / OVERHEAD_CALLS - 2 * len(payload)


class Meter:
    """Count messages and bytes of in-memory nodes."""

    def __init__(self, overhead: float) -> None:
        self._overhead = overhead
        self.calls = 0
        self.sent_bytes = 0.0
        self.paid_bytes = 0.0

    def note(
        self,
        source: str,
        sent: membership.Outgoing,
        answer: membership.Gossip,
    ) -> None:
        """Count one call with its answer."""
        size = self._overhead + len(codec.encode(sent.message))
        size += len(codec.encode(answer))
        self.calls += 1
        self.sent_bytes += size
        if sent.cross_region:
            self.paid_bytes += size


def measure_memory(size: int, seed: int, overhead: float) -> Iterator[Line]:
    """Yield the lines of a cluster with in-memory links."""
    before_mb = _rss_mb()
    cluster = clusters.MemoryCluster(size, centres=CENTRES, seed=seed)
    cluster.introduce()
    cluster.links.run(SETTLE_S)
    gc.collect()
    rss_mb = (_rss_mb() - before_mb) / size
    for state, rate in (("idle", 0.0), ("changing", _change_rate())):
        yield {
            "nodes": size,
            "links": "memory",
            "centres": CENTRES,
            "seed": seed,
            "state": state,
            "changes_per_s": rate,
            **_run_memory(cluster, overhead, rate),
            "rss_mb": round(rss_mb, 3),
        }


def _run_memory(
    cluster: clusters.MemoryCluster, overhead: float, rate: float
) -> Line:
    meter = Meter(overhead)
    cluster.links.observers[:] = [meter.note]
    size = len(cluster.cores)
    spreads: list[float] = []
    began_at = cluster.links.clock.monotonic()
    cpu = time.process_time()
    if rate:
        spreads = _publish_memory(cluster, rate)
    else:
        cluster.links.run(IDLE_S)
    cpu = time.process_time() - cpu
    passed = cluster.links.clock.monotonic() - began_at
    return _line(meter, cpu, passed, size, spreads)


def _publish_memory(
    cluster: clusters.MemoryCluster, rate: float
) -> list[float]:
    size = len(cluster.cores)
    trackers = []
    for version in range(1, int(LOADED_S * rate) + 1):
        trackers.append(_Tracker(cluster, version))
        cluster.publish(cluster.rng.randrange(size), version, VALUE)
        cluster.links.run(1 / rate)
    cluster.links.run(SETTLE_S)
    spreads = [passed for t in trackers for passed in t.spreads_s]
    missing = len(trackers) * size - len(spreads)
    return spreads + [SPREAD_LIMIT_S] * missing


class _Tracker:
    """Note when each node learns of one revision or a later one."""

    def __init__(self, cluster: clusters.MemoryCluster, version: int) -> None:
        self._clock = cluster.links.clock
        self._began_at = self._clock.monotonic()
        self._version = version
        self._seen: set[ids.InstanceId] = set()
        self.spreads_s: list[float] = []
        for core in cluster.cores.values():
            name = core.state.me.instance
            core.state.subscribe(
                membership.Topic.CONFIGURATION, self._watch(name)
            )

    def _watch(self, name: ids.InstanceId) -> membership.Subscriber:
        def learn(entry: membership.Entry) -> None:
            if entry.version >= self._version and name not in self._seen:
                self._seen.add(name)
                passed = self._clock.monotonic() - self._began_at
                self.spreads_s.append(passed)

        return learn


async def measure_real(size: int, seed: int, overhead: float) -> list[Line]:
    """Return the lines of nodes that talk over loopback TCP."""
    rng = random.Random(seed)
    before_mb = _rss_mb()
    nodes = [_new_node(f"n{number}", number) for number in range(size)]
    for node in nodes:
        await node.start()
    gossips = [
        _new_gossip(number, node, nodes[0].address, rng)
        for number, node in enumerate(nodes)
    ]
    for gossip in gossips:
        await gossip.start()
    async with asyncio.timeout(60):
        while any(len(g.peers()) < size - 1 for g in gossips):
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    rss_mb = (_rss_mb() - before_mb) / size
    lines = []
    for state, rate in (("idle", 0.0), ("changing", _change_rate())):
        lines.append(
            {
                "nodes": size,
                "links": "tcp",
                "centres": min(size, CENTRES),
                "seed": seed,
                "state": state,
                "changes_per_s": rate,
                **await _run_real(nodes, gossips, overhead, rate),
                "rss_mb": round(rss_mb, 3),
            }
        )
    for gossip, node in zip(gossips, nodes, strict=True):
        await gossip.close()
        await node.close()
    return lines


async def _run_real(
    nodes: list[peers.PeerNode],
    gossips: list[membership.GossipNode],
    overhead: float,
    rate: float,
) -> Line:
    before = _traffic(nodes)
    spreads: list[float] = []
    began_at = time.monotonic()
    cpu = time.process_time()
    if rate:
        spreads = await _publish_real(gossips, rate)
    else:
        await asyncio.sleep(IDLE_S)
    cpu = time.process_time() - cpu
    passed = time.monotonic() - began_at
    meter = Meter(overhead)
    after = _traffic(nodes)
    calls, size, paid_calls, paid = (
        new - old for new, old in zip(after, before, strict=True)
    )
    meter.calls = calls
    meter.sent_bytes = size + calls * overhead
    meter.paid_bytes = paid + paid_calls * overhead
    return _line(meter, cpu, passed, len(nodes), spreads)


async def _publish_real(
    gossips: list[membership.GossipNode], rate: float
) -> list[float]:
    spreads: list[float] = []
    published: dict[int, float] = {}
    seen: set[tuple[int, int]] = set()

    def watch(number: int) -> membership.Subscriber:
        def learn(entry: membership.Entry) -> None:
            if (number, entry.version) not in seen:
                seen.add((number, entry.version))
                at = published[entry.version]
                spreads.append(time.monotonic() - at)

        return learn

    for number, gossip in enumerate(gossips):
        gossip.subscribe(membership.Topic.CONFIGURATION, watch(number))
    for version in range(1, int(LOADED_S * rate) + 1):
        published[version] = time.monotonic()
        gossips[version % len(gossips)].publish(
            membership.Topic.CONFIGURATION,
            "current",
            VALUE,
            version=version,
            ttl_ms=3_600_000,
        )
        await asyncio.sleep(1 / rate)
    await asyncio.sleep(SETTLE_S)
    missing = len(published) * len(gossips) - len(spreads)
    return spreads + [SPREAD_LIMIT_S] * missing


def _new_node(name: str, number: int) -> peers.PeerNode:
    return peers.PeerNode(
        ids.InstanceId(name), "127.0.0.1", 0, "key", random.Random(number)
    )


def _new_gossip(
    number: int, node: peers.PeerNode, seed: str, rng: random.Random
) -> membership.GossipNode:
    centre = number % CENTRES
    me = membership.Peer(
        node.instance,
        "",
        ids.Region(f"region-{centre // 3}"),
        ids.DataCentre(f"centre-{centre}"),
    )
    gossip = membership.GossipNode(
        me,
        node,
        clocks.SystemClock(),
        random.Random(rng.random()),
        seeds=(seed,),
    )
    node.is_cross_region = gossip.is_cross_region
    return gossip


def _traffic(nodes: list[peers.PeerNode]) -> tuple[int, int, int, int]:
    calls = size = paid_calls = paid = 0
    for node in nodes:
        for flow, count in node.traffic.calls.items():
            if flow.direction is peers.Direction.RECEIVED:
                continue
            # A call counts its request and its answer.
            moved = node.traffic.payload_bytes[flow]
            calls += count // 2
            size += moved
            if flow.cross_region:
                paid_calls += count // 2
                paid += moved
    return calls, size, paid_calls, paid


def _line(
    meter: Meter, cpu: float, passed: float, size: int, spreads: list[float]
) -> Line:
    line: Line = {
        "bytes_per_s": round(meter.sent_bytes / passed / size, 1),
        "messages_per_s": round(2 * meter.calls / passed / size, 3),
        "cpu_percent": round(100 * cpu / passed / size, 4),
        "cross_region_bytes_per_s": round(meter.paid_bytes / passed / size, 1),
    }
    if spreads:
        found = sorted(spreads)
        line["spread_ms_p95"] = round(
            found[math.ceil(0.95 * len(found)) - 1] * MS_PER_S, 1
        )
        line["spread_ms_max"] = round(found[-1] * MS_PER_S, 1)
    return line


def slopes(lines: list[Line]) -> Iterator[Line]:
    """Yield a straight line over the sizes for each kind and value."""
    keys = (
        "bytes_per_s",
        "messages_per_s",
        "cpu_percent",
        "rss_mb",
        "cross_region_bytes_per_s",
        "spread_ms_p95",
    )
    for links in ("tcp", "memory"):
        for state in ("idle", "changing"):
            chosen = [
                line
                for line in lines
                if line["links"] == links and line["state"] == state
            ]
            for key in keys:
                points = [(n["nodes"], n[key]) for n in chosen if key in n]
                if len(points) > 1:
                    yield _slope(links, state, key, points)


def _slope(
    links: str, state: str, key: str, points: list[tuple[int, float]]
) -> Line:
    fit = statistics.linear_regression(*zip(*points, strict=True))
    return {
        "measure": "slope",
        "links": links,
        "state": state,
        "of": key,
        "per_node": fit.slope,
        "at_zero": fit.intercept,
    }


def _change_rate() -> float:
    return CHANGES_PER_DAY / DAY_S * COMPRESSION


def _rss_mb() -> float:
    return psutil.Process().memory_info().rss / KIB / KIB


def _limit_memory() -> None:
    half = psutil.virtual_memory().total // 2
    resource.setrlimit(resource.RLIMIT_AS, (half, half))


if __name__ == "__main__":
    _limit_memory()
    main()

"""Tests of the gossip under faults of links and instances."""

from collections.abc import Callable
from typing import NamedTuple

import pytest

from sassafrasflow import membership
from sassafrasflow.fakes import clusters

NODES = 9
ALL = frozenset(range(NODES))
SPREAD_BOUND_S = 7.0
DETECTION_BOUND_S = 10.0
SETTLE_S = 5.0
CUT_S = 60.0
HOUR_S = 3_600.0


@pytest.fixture
def cluster():
    """Return nine nodes in three data centres, all of them joined."""
    return settle(clusters.MemoryCluster(NODES))


def settle(cluster):
    cluster.links.run(30, lambda: have_only_peers(cluster, ALL))
    assert have_only_peers(cluster, ALL)
    cluster.links.run(SETTLE_S)
    return cluster


def have_only_peers(cluster, wanted):
    return all(cluster.peers(n) == wanted - {n} for n in wanted)


def spread_s(cluster, source, version, among=ALL):
    cluster.publish(source, version)
    return cluster.links.run(HOUR_S, lambda: cluster.knows(among, version))


class LinkCase(NamedTuple):
    name: str
    apply: Callable[..., None]


def set_faults(**values):
    def apply(cluster):
        for name, value in values.items():
            setattr(cluster.links.faults, name, value)

    return apply


def block(pairs):
    names = {(f"n{a}:1", f"n{b}:1") for a, b in pairs}
    return set_faults(blocked=lambda a, b: (a, b) in names)


LINK_CASES = [
    LinkCase("loss", set_faults(loss=0.1)),
    LinkCase("delay", set_faults(delay_s=0.15)),
    LinkCase("reorder", set_faults(jitter_s=0.2)),
    LinkCase("duplicate", set_faults(duplicates=1.0)),
    LinkCase("one way cut", block([(0, 3)])),
    LinkCase("both ways cut", block([(0, 3), (3, 0)])),
    LinkCase(
        "one way cut between data centres",
        block([(a, b) for a in (0, 3, 6) for b in (1, 4, 7)]),
    ),
]


class TestLinkFaults:
    """Guard against lost updates and false deaths under faults of links."""

    @pytest.mark.parametrize("case", LINK_CASES, ids=lambda case: case.name)
    def test_entries_arrive_and_no_instance_is_declared_dead(
        self, cluster, case
    ):
        case.apply(cluster)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S
        assert spread_s(cluster, 4, 2) <= SPREAD_BOUND_S
        cluster.links.run(CUT_S)
        dead = {n for n in ALL for m in dead_at(cluster, n)}
        assert not dead
        assert have_only_peers(cluster, ALL)


def dead_at(cluster, number):
    return cluster.cores[f"n{number}:1"].state.members.dead()


class InstanceCase(NamedTuple):
    name: str
    fail: Callable[..., None]


def unable_to_send(cluster):
    cluster.links.faults.blocked = lambda a, b: a == "n3:1"


def unable_to_receive(cluster):
    cluster.links.faults.blocked = lambda a, b: b == "n3:1"


INSTANCE_CASES = [
    InstanceCase("killed", lambda cluster: cluster.links.remove("n3:1")),
    InstanceCase("paused", lambda cluster: cluster.links.pause("n3:1")),
    InstanceCase("half open: it hears and is not heard", unable_to_send),
    InstanceCase("half open: it speaks and does not hear", unable_to_receive),
]


class TestInstanceFaults:
    """Guard against failures that are detected late or wrongly.

    An instance is killed, suspended or half open and has to be declared dead
    in time. A suspended one must not bring back state that changed meanwhile.
    """

    @pytest.mark.parametrize(
        "case", INSTANCE_CASES, ids=lambda case: case.name
    )
    def test_lost_instance_is_declared_dead(self, cluster, case):
        case.fail(cluster)
        rest = ALL - {3}
        detected_s = cluster.links.run(
            HOUR_S, lambda: all(3 not in cluster.peers(n) for n in rest)
        )
        assert detected_s <= DETECTION_BOUND_S
        assert all(cluster.peers(n) == rest - {n} for n in rest)

    def test_short_suspension_is_not_a_death(self, cluster):
        cluster.links.pause("n3:1")
        cluster.links.run(1.5)
        cluster.links.resume("n3:1")
        cluster.links.run(SETTLE_S)
        assert have_only_peers(cluster, ALL)
        assert not any(dead_at(cluster, n) for n in ALL)

    @pytest.mark.parametrize("suspension_s", [10.0, 60.0, HOUR_S])
    def test_suspended_instance_does_not_restore_old_state(
        self, cluster, suspension_s
    ):
        spread_s(cluster, 0, 1)
        cluster.links.pause("n3:1")
        cluster.publish(0, 2)
        cluster.links.remove("n6:1")
        cluster.links.run(suspension_s)
        cluster.links.resume("n3:1")
        alive = ALL - {6}
        recovered_s = cluster.links.run(
            HOUR_S,
            lambda: (
                have_only_peers(cluster, alive) and cluster.knows(alive, 2)
            ),
        )
        assert recovered_s <= DETECTION_BOUND_S
        for _ in range(30):
            cluster.links.run(1)
            assert all(cluster.version(n) == 2 for n in alive)
            assert all(6 not in cluster.peers(n) for n in alive - {3})

    def test_suspended_instance_declares_no_other_dead(self, cluster):
        cluster.links.pause("n3:1")
        cluster.links.run(CUT_S)
        cluster.links.resume("n3:1")
        cluster.links.run(SETTLE_S)
        assert not dead_at(cluster, 3)

    def test_restart_under_the_same_address(self, cluster):
        before = cluster.cores["n3:1"].state.me.incarnation
        cluster.links.remove("n3:1")
        cluster.links.run(0.5)
        cluster.start(3)
        cluster.links.run(HOUR_S, lambda: have_only_peers(cluster, ALL))
        cluster.links.run(CUT_S)
        assert have_only_peers(cluster, ALL)
        incarnations = {incarnation(cluster, n, 3) for n in ALL - {3}}
        assert min(incarnations) > before

    def test_restart_with_an_older_incarnation(self, cluster):
        before = cluster.cores["n3:1"].state.me.incarnation
        cluster.links.remove("n3:1")
        cluster.links.run(DETECTION_BOUND_S)
        cluster.start(3, incarnation=1)
        cluster.links.run(SETTLE_S)
        assert have_only_peers(cluster, ALL)
        assert incarnation(cluster, 0, 3) > before

    def test_leaving_instance_is_removed_at_once(self, cluster):
        core = cluster.cores["n3:1"]
        for sent in core.leave():
            cluster.cores[sent.address].handle_request(sent.message)
            cluster.links.wake(sent.address)
        cluster.links.remove("n3:1")
        rest = ALL - {3}
        detected_s = cluster.links.run(
            HOUR_S, lambda: all(3 not in cluster.peers(n) for n in rest)
        )
        assert detected_s <= 1.0

    def test_other_instance_takes_over_an_address(self, cluster):
        cluster.links.remove("n3:1")
        other = clusters.MemoryCluster(0)
        other.links = cluster.links
        peer = other.peer(3)
        core = membership.GossipCore(
            membership.Peer(
                "n12", peer.address, peer.region, peer.data_centre, 1
            ),
            cluster.policy,
            cluster.links.clock,
            cluster.rng,
            ["n0:1"],
        )
        cluster.links.add("n3:1", core)
        rest = ALL - {3}
        cluster.links.run(
            DETECTION_BOUND_S,
            lambda: all(cluster.peers(n) >= {12} for n in rest),
        )
        cluster.links.run(SETTLE_S)
        wanted = rest | {12}
        assert all(cluster.peers(n) == wanted - {n} for n in rest)


def incarnation(cluster, at, of):
    members = cluster.cores[f"n{at}:1"].state.members
    return members.get(f"n{of}").peer.incarnation


class TestDataCentrePartition:
    """Guard against lost updates and bursts around a partition."""

    def test_each_side_works_and_both_merge_afterwards(self, cluster):
        isolated = frozenset(cluster.centre("centre-0"))
        rest = ALL - isolated
        cluster.separate([isolated, rest])
        cluster.publish(0, 1)
        cluster.publish(1, 2)
        cluster.links.run(CUT_S)
        assert all(cluster.version(n) == 1 for n in isolated)
        assert all(cluster.version(n) == 2 for n in rest)
        assert have_only_peers(cluster, isolated)
        assert have_only_peers(cluster, rest)
        cluster.heal()
        healed_s = cluster.links.run(HOUR_S, lambda: cluster.knows(ALL, 2))
        assert healed_s <= SPREAD_BOUND_S
        cluster.links.run(20, lambda: have_only_peers(cluster, ALL))
        assert have_only_peers(cluster, ALL)
        assert not any(dead_at(cluster, n) for n in ALL)

    def test_healing_after_an_hour_causes_no_burst(self, cluster):
        meter = Meter(cluster)
        cluster.links.run(CUT_S)
        steady = meter.mean()
        isolated = frozenset(cluster.centre("centre-0"))
        cluster.separate([isolated, ALL - isolated])
        for version in range(1, 61):
            cluster.publish(1, version, b"x" * 200)
            state = cluster.cores["n1:1"].state
            state.publish(
                membership.Topic.EVIDENCE,
                f"version-{version}",
                b"x" * 200,
                version=1,
                ttl_ms=7_200_000,
            )
            cluster.links.wake("n1:1")
            cluster.links.run(60)
        cluster.heal()
        meter.restart()
        healed_s = cluster.links.run(HOUR_S, lambda: cluster.knows(ALL, 60))
        assert healed_s <= SPREAD_BOUND_S
        cluster.links.run(CUT_S)
        evidence = membership.Topic.EVIDENCE
        for core in cluster.cores.values():
            assert len(core.state.table.entries(evidence)) == 60
        assert meter.highest() <= 10 * steady

    def test_lost_gateway_is_replaced(self, cluster):
        core = cluster.cores["n0:1"]
        first = core.state.gateways()[0]
        cluster.links.remove(first.address)
        rest = ALL - {int(first.instance[1:])}
        source = min(rest & set(cluster.centre("centre-0")))
        assert spread_s(cluster, source, 1, rest) <= SPREAD_BOUND_S
        cluster.links.run(DETECTION_BOUND_S)
        assert spread_s(cluster, source, 2, rest) <= SPREAD_BOUND_S


class Meter:
    """Sum the bytes that each node sends in each second."""

    def __init__(self, cluster):
        self._clock = cluster.links.clock
        cluster.links.observers.append(self._record)
        self.restart()

    def restart(self):
        self._began_at = self._clock.monotonic()
        self._sums = {}

    def _record(self, source, sent, answer):
        second = int(self._clock.monotonic())
        for name, message in (
            (source, sent.message),
            (sent.address, answer),
        ):
            size = len(membership.codec.encode(message))
            key = (name, second)
            self._sums[key] = self._sums.get(key, 0) + size

    def mean(self):
        elapsed_s = self._clock.monotonic() - self._began_at
        return sum(self._sums.values()) / elapsed_s / NODES

    def highest(self):
        return max(self._sums.values())


class TestJoin:
    def test_cluster_forms_from_seeds(self):
        cluster = clusters.MemoryCluster(NODES)
        joined_s = cluster.links.run(
            HOUR_S, lambda: have_only_peers(cluster, ALL)
        )
        assert joined_s <= SPREAD_BOUND_S

    def test_large_cluster_forms_from_one_seed(self):
        cluster = clusters.MemoryCluster(36, centres=9, seeds=1)
        wanted = frozenset(range(36))
        cluster.links.run(12, lambda: have_only_peers(cluster, wanted))
        assert have_only_peers(cluster, wanted)

    def test_cluster_forms_from_a_listed_address(self):
        cluster = clusters.MemoryCluster(0)
        for number in (4, 7):
            cluster.start(number)
        cluster.cores["n7:1"].set_listed_addresses(["n4:1", "n7:1"])
        cluster.links.run(HOUR_S, lambda: cluster.peers(7) == {4})
        assert cluster.peers(4) == {7}

    def test_new_instance_receives_shared_entries(self, cluster):
        spread_s(cluster, 0, 5)
        cluster.start(9)
        received_s = cluster.links.run(HOUR_S, lambda: cluster.version(9) == 5)
        assert received_s <= SPREAD_BOUND_S


class TestByteBudget:
    def test_heartbeats_do_not_delay_entries(self):
        policy = membership.GossipPolicy(
            probe_interval_ms=100, remote_interval_ms=100, bytes_per_s=512
        )
        cluster = clusters.MemoryCluster(NODES, policy=policy)
        cluster.links.run(30, lambda: have_only_peers(cluster, ALL))
        assert have_only_peers(cluster, ALL)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S

    def test_demand_does_not_make_data_centres_unreachable(self, cluster):
        for second in range(60):
            for address, core in cluster.cores.items():
                for number in range(20):
                    core.state.publish(
                        membership.Topic.DEMAND,
                        f"{address}/club-{number}",
                        b"x" * 64,
                        version=second + 1,
                        ttl_ms=5_000,
                    )
                cluster.links.wake(address)
            cluster.links.run(1)
        assert have_only_peers(cluster, ALL)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S

    def test_evidence_does_not_delay_a_block(self, cluster):
        evidence = membership.Topic.EVIDENCE
        for second in range(20):
            for address in cluster.cores:
                publish(cluster, address, evidence, b"x" * 3_000, second + 1)
            cluster.links.run(1)
        publish(cluster, "n0:1", membership.Topic.BLOCK, b"", 1)
        wanted = cluster.cores.values()
        elapsed_s = cluster.links.run(
            HOUR_S,
            lambda: all(
                core.state.table.entries(membership.Topic.BLOCK)
                for core in wanted
            ),
        )
        assert elapsed_s <= SPREAD_BOUND_S

    def test_new_instance_receives_all_entries_quickly(self, cluster):
        evidence = membership.Topic.EVIDENCE
        for address in cluster.cores:
            publish(cluster, address, evidence, b"x" * 3_000, 1)
            cluster.links.run(CUT_S)
        cluster.start(9)
        table = cluster.cores["n9:1"].state.table
        elapsed_s = cluster.links.run(
            HOUR_S, lambda: len(table.entries(evidence)) == NODES
        )
        assert elapsed_s <= 2.0


def publish(cluster, address, topic, value, version):
    cluster.cores[address].state.publish(
        topic, address, value, version=version, ttl_ms=3_600_000
    )
    cluster.links.wake(address)


class TestSubscribers:
    def test_failing_subscriber_does_not_affect_others(self, cluster):
        versions = []

        def fail(entry):
            raise RuntimeError("broken")

        state = cluster.cores["n5:1"].state
        topic = membership.Topic.CONFIGURATION
        state.subscribe(topic, fail)
        state.subscribe(topic, lambda entry: versions.append(entry.version))
        assert spread_s(cluster, 0, 3) <= SPREAD_BOUND_S
        assert versions == [3]

    def test_large_value_is_rejected_and_counted(self, cluster):
        cluster.publish(0, 1, b"x" * 100_000)
        assert cluster.version(0) == 0
        assert cluster.cores["n0:1"].state.rejected == 1

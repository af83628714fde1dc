"""Contract of the gossip under faults of links and instances."""

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
    """Return nine nodes in three data centres that know each other."""
    return settled(clusters.MemoryCluster(NODES))


def settled(cluster):
    cluster.links.run(30, lambda: all_see(cluster, ALL))
    assert all_see(cluster, ALL)
    cluster.links.run(SETTLE_S)
    return cluster


def all_see(cluster, wanted):
    return all(cluster.peers(n) == wanted - {n} for n in wanted)


def spread_s(cluster, source, version, among=ALL):
    cluster.publish(source, version)
    return cluster.links.run(
        HOUR_S, lambda: cluster.has_version(among, version)
    )


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
    @pytest.mark.parametrize("case", LINK_CASES, ids=lambda case: case.name)
    def test_news_arrives_and_nobody_is_given_up(self, cluster, case):
        case.apply(cluster)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S
        assert spread_s(cluster, 4, 2) <= SPREAD_BOUND_S
        cluster.links.run(CUT_S)
        dead = {n for n in ALL for m in dead_at(cluster, n)}
        assert not dead
        assert all_see(cluster, ALL)


def dead_at(cluster, number):
    return cluster.cores[f"n{number}:1"].state.members.dead()


class InstanceCase(NamedTuple):
    name: str
    fail: Callable[..., None]


def half_open(cluster):
    cluster.links.faults.is_blocked = lambda a, b: a == "n3:1"


def deaf(cluster):
    cluster.links.faults.is_blocked = lambda a, b: b == "n3:1"


INSTANCE_CASES = [
    InstanceCase("killed", lambda cluster: cluster.links.remove("n3:1")),
    InstanceCase("paused", lambda cluster: cluster.links.pause("n3:1")),
    InstanceCase("half open: it hears and is not heard", half_open),
    InstanceCase("half open: it speaks and does not hear", deaf),
]


class TestInstanceFaults:
    @pytest.mark.parametrize(
        "case", INSTANCE_CASES, ids=lambda case: case.name
    )
    def test_lost_instance_is_given_up(self, cluster, case):
        case.fail(cluster)
        rest = ALL - {3}
        seen = cluster.links.run(
            HOUR_S, lambda: all(3 not in cluster.peers(n) for n in rest)
        )
        assert seen <= DETECTION_BOUND_S
        assert all(cluster.peers(n) == rest - {n} for n in rest)

    def test_short_pause_gives_nobody_up(self, cluster):
        cluster.links.pause("n3:1")
        cluster.links.run(1.5)
        cluster.links.resume("n3:1")
        cluster.links.run(SETTLE_S)
        assert all_see(cluster, ALL)
        assert not any(dead_at(cluster, n) for n in ALL)

    @pytest.mark.parametrize("pause_s", [10.0, 60.0, HOUR_S])
    def test_paused_instance_brings_no_old_state_back(self, cluster, pause_s):
        spread_s(cluster, 0, 1)
        cluster.links.pause("n3:1")
        cluster.publish(0, 2)
        cluster.links.remove("n6:1")
        cluster.links.run(pause_s)
        cluster.links.resume("n3:1")
        alive = ALL - {6}
        back = cluster.links.run(
            HOUR_S,
            lambda: all_see(cluster, alive) and cluster.has_version(alive, 2),
        )
        assert back <= DETECTION_BOUND_S
        for _ in range(30):
            cluster.links.run(1)
            assert all(cluster.version(n) == 2 for n in alive)
            assert all(6 not in cluster.peers(n) for n in alive - {3})

    def test_paused_instance_gives_nobody_up(self, cluster):
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
        cluster.links.run(HOUR_S, lambda: all_see(cluster, ALL))
        cluster.links.run(CUT_S)
        assert all_see(cluster, ALL)
        seen = {incarnation(cluster, n, 3) for n in ALL - {3}}
        assert min(seen) > before

    def test_restart_with_an_older_incarnation(self, cluster):
        before = cluster.cores["n3:1"].state.me.incarnation
        cluster.links.remove("n3:1")
        cluster.links.run(DETECTION_BOUND_S)
        cluster.start(3, incarnation=1)
        cluster.links.run(SETTLE_S)
        assert all_see(cluster, ALL)
        assert incarnation(cluster, 0, 3) > before

    def test_planned_end_is_known_at_once(self, cluster):
        core = cluster.cores["n3:1"]
        for sent in core.leave():
            cluster.cores[sent.address].answer(sent.message)
            cluster.links.wake(sent.address)
        cluster.links.remove("n3:1")
        rest = ALL - {3}
        seen = cluster.links.run(
            HOUR_S, lambda: all(3 not in cluster.peers(n) for n in rest)
        )
        assert seen <= 1.0

    def test_other_instance_at_a_known_address(self, cluster):
        cluster.links.remove("n3:1")
        stranger = clusters.MemoryCluster(0)
        stranger.links = cluster.links
        peer = stranger.peer(3)
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


class TestDataCentreCutOff:
    def test_each_side_goes_on_and_both_find_together(self, cluster):
        alone = frozenset(cluster.nodes_in("centre-0"))
        rest = ALL - alone
        cluster.partition([alone, rest])
        cluster.publish(0, 1)
        cluster.publish(1, 2)
        cluster.links.run(CUT_S)
        assert all(cluster.version(n) == 1 for n in alone)
        assert all(cluster.version(n) == 2 for n in rest)
        assert all_see(cluster, alone)
        assert all_see(cluster, rest)
        cluster.heal()
        healed = cluster.links.run(HOUR_S, lambda: cluster.has_version(ALL, 2))
        assert healed <= SPREAD_BOUND_S
        cluster.links.run(20, lambda: all_see(cluster, ALL))
        assert all_see(cluster, ALL)
        assert not any(dead_at(cluster, n) for n in ALL)

    def test_no_burst_after_an_hour(self, cluster):
        meter = Meter(cluster)
        cluster.links.run(CUT_S)
        steady = meter.mean()
        alone = frozenset(cluster.nodes_in("centre-0"))
        cluster.partition([alone, ALL - alone])
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
        healed = cluster.links.run(
            HOUR_S, lambda: cluster.has_version(ALL, 60)
        )
        assert healed <= SPREAD_BOUND_S
        cluster.links.run(CUT_S)
        evidence = membership.Topic.EVIDENCE
        for core in cluster.cores.values():
            assert len(core.state.table.entries(evidence)) == 60
        assert meter.highest() <= 10 * steady

    def test_gateways_are_chosen_again(self, cluster):
        core = cluster.cores["n0:1"]
        first = core.state.gateways()[0]
        cluster.links.remove(first.address)
        rest = ALL - {int(first.instance[1:])}
        source = min(rest & set(cluster.nodes_in("centre-0")))
        assert spread_s(cluster, source, 1, rest) <= SPREAD_BOUND_S
        cluster.links.run(DETECTION_BOUND_S)
        assert spread_s(cluster, source, 2, rest) <= SPREAD_BOUND_S


class Meter:
    """Sum the bytes that each node sends in each second."""

    def __init__(self, cluster):
        self._clock = cluster.links.clock
        cluster.links.observers.append(self._note)
        self.restart()

    def restart(self):
        self._began_at = self._clock.monotonic()
        self._sums = {}

    def _note(self, source, sent, answer):
        second = int(self._clock.monotonic())
        for name, message in (
            (source, sent.message),
            (sent.address, answer),
        ):
            size = len(membership.codec.encode(message))
            key = (name, second)
            self._sums[key] = self._sums.get(key, 0) + size

    def mean(self):
        passed = self._clock.monotonic() - self._began_at
        return sum(self._sums.values()) / passed / NODES

    def highest(self):
        return max(self._sums.values())


class TestJoin:
    def test_cluster_forms_from_seeds(self):
        cluster = clusters.MemoryCluster(NODES)
        seen = cluster.links.run(HOUR_S, lambda: all_see(cluster, ALL))
        assert seen <= SPREAD_BOUND_S

    def test_many_form_from_one_seed(self):
        cluster = clusters.MemoryCluster(36, centres=9, seeds=1)
        wanted = frozenset(range(36))
        cluster.links.run(12, lambda: all_see(cluster, wanted))
        assert all_see(cluster, wanted)

    def test_listed_address_is_enough(self):
        cluster = clusters.MemoryCluster(0)
        for number in (4, 7):
            cluster.start(number)
        cluster.cores["n7:1"].listed(["n4:1", "n7:1"])
        cluster.links.run(HOUR_S, lambda: cluster.peers(7) == {4})
        assert cluster.peers(4) == {7}

    def test_new_instance_learns_what_is_shared(self, cluster):
        spread_s(cluster, 0, 5)
        cluster.start(9)
        learned = cluster.links.run(HOUR_S, lambda: cluster.version(9) == 5)
        assert learned <= SPREAD_BOUND_S


class TestByteBudget:
    def test_heartbeats_do_not_hold_news_back(self):
        policy = membership.GossipPolicy(
            probe_interval_ms=100, remote_interval_ms=100, bytes_per_s=512
        )
        cluster = clusters.MemoryCluster(NODES, policy=policy)
        cluster.links.run(30, lambda: all_see(cluster, ALL))
        assert all_see(cluster, ALL)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S

    def test_demand_does_not_hold_reachability_back(self, cluster):
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
        assert all_see(cluster, ALL)
        assert spread_s(cluster, 0, 1) <= SPREAD_BOUND_S

    def test_evidence_does_not_hold_a_block_back(self, cluster):
        evidence = membership.Topic.EVIDENCE
        for second in range(20):
            for address in cluster.cores:
                tell(cluster, address, evidence, b"x" * 3_000, second + 1)
            cluster.links.run(1)
        tell(cluster, "n0:1", membership.Topic.BLOCK, b"", 1)
        wanted = cluster.cores.values()
        passed = cluster.links.run(
            HOUR_S,
            lambda: all(
                core.state.table.entries(membership.Topic.BLOCK)
                for core in wanted
            ),
        )
        assert passed <= SPREAD_BOUND_S

    def test_new_instance_learns_all_at_once(self, cluster):
        evidence = membership.Topic.EVIDENCE
        for address in cluster.cores:
            tell(cluster, address, evidence, b"x" * 3_000, 1)
            cluster.links.run(CUT_S)
        cluster.start(9)
        table = cluster.cores["n9:1"].state.table
        passed = cluster.links.run(
            HOUR_S, lambda: len(table.entries(evidence)) == NODES
        )
        assert passed <= 2.0


def tell(cluster, address, topic, value, version):
    cluster.cores[address].state.publish(
        topic, address, value, version=version, ttl_ms=3_600_000
    )
    cluster.links.wake(address)


class TestSubscribers:
    def test_failing_subscriber_harms_nobody(self, cluster):
        heard = []

        def fail(entry):
            raise RuntimeError("broken")

        state = cluster.cores["n5:1"].state
        topic = membership.Topic.CONFIGURATION
        state.subscribe(topic, fail)
        state.subscribe(topic, lambda entry: heard.append(entry.version))
        assert spread_s(cluster, 0, 3) <= SPREAD_BOUND_S
        assert heard == [3]

    def test_large_value_is_counted_and_kept_away(self, cluster):
        cluster.publish(0, 1, b"x" * 100_000)
        assert cluster.version(0) == 0
        assert cluster.cores["n0:1"].state.rejected == 1

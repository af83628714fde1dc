"""Fair shares of organisations, as pure decisions."""

import hypothesis
from hypothesis import strategies

from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import shares
from sassafrasflow.admission import waiting

STREAM = 8980
PROMPT = rooms.Demand(STREAM, 8200)


def usages(**streams) -> dict:
    """Return usages for the numbers of running and of waiting streams."""
    return {
        name: shares.Usage(STREAM * running, STREAM * waiting)
        for name, (running, waiting) in streams.items()
    }


def exceeding(**streams) -> set:
    return set(shares.find_exceeding(usages(**streams), STREAM))


class TestFindExceeding:
    """Guard against organisations that are wrongly put behind others."""

    def test_one_that_takes_what_others_wait_for_exceeds_its_share(self):
        others = {f"o{n}": (5, 1) for n in range(23)}
        assert exceeding(large=(200, 50), **others) == {"large"}

    def test_none_exceeds_it_while_no_other_waits(self):
        """Unused capacity goes to those that want more."""
        others = {f"o{n}": (5, 0) for n in range(23)}
        assert exceeding(large=(200, 50), **others) == set()

    def test_equal_organisations_do_not_exceed_it(self):
        equal = {f"o{n}": (30, 8) for n in range(24)}
        assert exceeding(**equal) == set()

    def test_chance_is_no_excess(self):
        """Guard against an order that changes with each random difference."""
        streams = {f"o{n}": (30 + n % 7 - 3, n % 5) for n in range(24)}
        assert exceeding(**streams) == set()

    def test_only_organisation_gets_everything(self):
        assert exceeding(only=(500, 300)) == set()

    def test_small_organisation_beside_one_large_one(self):
        """Guard against a tolerance that exceeds all that others want."""
        assert exceeding(large=(192, 48), small=(12, 12)) == {"large"}

    def test_several_large_ones_exceed_it_together(self):
        others = {f"o{n}": (2, 2) for n in range(22)}
        assert exceeding(a=(150, 9), b=(150, 9), **others) == {"a", "b"}

    @hypothesis.given(
        strategies.dictionaries(
            strategies.text(max_size=3),
            strategies.tuples(
                strategies.integers(0, 2**40), strategies.integers(0, 2**40)
            ),
            max_size=30,
        )
    )
    def test_never_all_exceed_it(self, streams):
        """Guard against a fleet in which everybody yields to nobody."""
        known = {name: shares.Usage(*each) for name, each in streams.items()}
        found = shares.find_exceeding(known)
        for name, share in found.items():
            assert known[name].used_tokens > share.share_tokens
        if found:
            assert any(
                known[name].waiting_tokens for name in known.keys() - found
            )


def request(
    standing, *, rank=2, ranks_before=2, goal_s=10.0
) -> waiting.StreamRequest:
    return waiting.StreamRequest(
        rank,
        0.0,
        goal_s,
        25.0,
        PROMPT,
        ranks_before=ranks_before,
        standing=standing,
        has_waited=True,
    )


def engine(unread, *, slots=3) -> rooms.Room:
    return rooms.Room(88_000, 30_000, unread, 12, slots, 0.0)


def decide(req, room, now=0.0) -> waiting.Decision:
    return waiting.decide(now, req, room, rooms.wait_s(room, req.demand))


class TestStanding:
    """Guard against streams that an excess holds for too long."""

    def test_free_engine_gets_streams_over_their_share_at_once(self):
        req = request(shares.Standing.OVER)
        assert decide(req, engine(0)) == waiting.Send(waiting.SendCause.FREE)

    def test_streams_of_others_join_a_prompt_that_is_being_read(self):
        busy = engine(8200)
        under = decide(request(shares.Standing.UNDER), busy)
        assert under == waiting.Send(waiting.SendCause.SOON)
        for standing in (shares.Standing.EVEN, shares.Standing.OVER):
            assert isinstance(decide(request(standing), busy), waiting.Wait)

    def test_no_stream_waits_past_its_latest_moment(self):
        full = engine(8200, slots=12)
        even = decide(request(shares.Standing.EVEN), full)
        over = decide(request(shares.Standing.OVER), full)
        assert isinstance(over, waiting.Wait) and over == even
        latest = decide(request(shares.Standing.OVER), full, over.until)
        assert latest == waiting.Send(waiting.SendCause.LATEST)

    def test_urgent_streams_over_their_share_wait_no_longer_than_others(self):
        """Guard against an excess that outweighs the rank."""
        urgent = request(
            shares.Standing.OVER, rank=0, ranks_before=0, goal_s=4.0
        )
        patient = request(shares.Standing.UNDER)
        assert waiting.tolerated_wait_s(
            urgent, 1.0
        ) >= waiting.tolerated_wait_s(patient, 1.0)

    def test_streams_over_their_share_follow_those_of_the_same_rank(self):
        queue: waiting.TurnQueue[str] = waiting.TurnQueue(
            lambda organisation: organisation == "large"
        )
        for name, rank, goal, organisation in (
            ("large-urgent", 0, 9.0, "large"),
            ("large", 2, 1.0, "large"),
            ("small", 2, 9.0, "small"),
            ("least", 3, 0.5, "small"),
        ):
            req = waiting.StreamRequest(
                rank, 0.0, goal, 25.0, PROMPT, organisation
            )
            queue.add(req, name)
        assert list(queue.in_order()) == [
            "large-urgent",
            "small",
            "large",
            "least",
        ]

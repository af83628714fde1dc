"""Decisions of the data path, without a network."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import budget
from sassafrasflow.gateway import events
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import silence
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets

NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")


def engine(name, data_centre=NORTH, *, in_flight=0) -> targets.Target:
    """Return an engine with a load."""
    entry = test_targets.listed(name, data_centre=data_centre, slots=12)
    target = targets.Target(entry, 1)
    target.in_flight = in_flight
    return target


def choose(candidates, **named):
    """Choose from the north at time 10."""
    preference = placement.Preference(NORTH, **named)
    rng = random.Random(1)
    return placement.choose_target(candidates, preference, 10.0, rng)


class TestPlacement:
    """Load: all instances place on the same few engines."""

    def test_least_loaded_wins(self):
        busy, idle = engine("busy", in_flight=3), engine("idle")
        assert choose([busy, idle]) is idle

    def test_load_of_other_instances_counts(self):
        taken, free = engine("taken"), engine("free", SOUTH)
        taken.peer_load = 3.0
        assert choose([taken, free]) is free

    def test_near_target_wins_a_tie(self):
        far, near = engine("far", SOUTH), engine("near")
        assert choose([far, near]) is near

    def test_lost_target_is_a_last_resort(self):
        lost, busy = engine("lost"), engine("busy", in_flight=9)
        lost.record_loss(9.5)
        assert choose([lost, busy]) is busy
        assert choose([lost]) is lost

    def test_target_that_failed_the_request_is_a_last_resort(self):
        first, second = engine("first"), engine("second", in_flight=5)
        assert choose([first, second], avoid={"first"}) is second

    def test_prompt_under_way_keeps_others_off(self):
        reading, running = engine("reading"), engine("running", in_flight=2)
        reading.in_flight = reading.prefills = 1
        assert choose([reading, running]) is running

    def test_copy_lies_in_another_data_centre(self):
        primary, beside = engine("primary"), engine("beside")
        away = engine("away", SOUTH, in_flight=5)
        holder = placement.choose_copy_holder(
            [primary, beside, away],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is away

    def test_dead_data_centre_gets_no_copy(self):
        primary, beside = engine("primary"), engine("beside")
        away = engine("away", SOUTH)
        away.record_loss(9.8)
        holder = placement.choose_copy_holder(
            [primary, beside, away],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is beside


class TestCommonLoss:
    """Load: a data centre's engines die at once, some of them dark."""

    def test_data_centre_with_two_losses_is_avoided(self):
        dead = [engine(f"dead{n}") for n in range(2)]
        for target in dead:
            target.record_loss(9.9)
        beside, away = engine("beside"), engine("away", SOUTH, in_flight=6)
        assert choose([*dead, beside, away]) is away

    def test_single_loss_spares_its_neighbours(self):
        dead, beside = engine("dead"), engine("beside")
        dead.record_loss(9.9)
        away = engine("away", SOUTH, in_flight=6)
        assert choose([dead, beside, away]) is beside

    def test_lost_request_leaves_the_data_centre_at_once(self):
        beside, away = engine("beside"), engine("away", SOUTH, in_flight=6)
        found = choose([beside, away], avoid_data_centres={NORTH})
        assert found is away

    def test_restarted_engines_are_used_again(self):
        dead = [engine(f"dead{n}") for n in range(2)]
        for target in dead:
            target.record_loss(8.7)
        beside, away = engine("beside"), engine("away", SOUTH, in_flight=6)
        assert choose([*dead, beside, away]) is beside

    def test_copy_is_not_placed_there(self):
        dead = [engine(f"dead{n}", SOUTH) for n in range(2)]
        for target in dead:
            target.record_loss(9.9)
        primary, beside, away = engine("p"), engine("b"), engine("a", SOUTH)
        holder = placement.choose_copy_holder(
            [*dead, primary, beside, away],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is beside


class TestControl:
    """Load: an instance with a full link finds every target late."""

    def test_control_is_a_sound_target_elsewhere(self):
        suspect, beside = engine("suspect"), engine("beside")
        lost, away = engine("lost", SOUTH), engine("away", SOUTH)
        lost.record_loss(9.9)
        found = placement.choose_control_target(
            [suspect, beside, lost, away], suspect, 10.0, random.Random(1)
        )
        assert found is away

    def test_without_a_second_data_centre_there_is_none(self):
        suspect, beside = engine("suspect"), engine("beside")
        found = placement.choose_control_target(
            [suspect, beside], suspect, 10.0, random.Random(1)
        )
        assert found is None


class TestSilence:
    """Load: engines that die silently beside engines that are only busy."""

    def flowing(self, *, pause_s=0.03, has_copy=True, max_pause_s=0.7):
        found = silence.SilenceMonitor(
            0.0, max_pause_s=max_pause_s, has_copy=has_copy
        )
        now = 1.0
        for _ in range(30):
            now += pause_s
            found.record_event(now)
        return found, now

    def test_usual_pause_is_not_checked(self):
        found, last = self.flowing()
        assert found.choose_action(last + 0.1) is silence.SilenceAction.WAIT

    def test_long_pause_is_checked(self):
        found, last = self.flowing()
        assert found.choose_action(last + 0.16) is silence.SilenceAction.CHECK

    def test_slow_rhythm_is_given_more_time(self):
        found, last = self.flowing(pause_s=0.09)
        assert found.choose_action(last + 0.2) is silence.SilenceAction.WAIT
        assert found.choose_action(last + 0.31) is silence.SilenceAction.CHECK

    def test_live_target_is_left_while_there_is_time_to_go_on(self):
        found, last = self.flowing()
        found.record_check(last + 0.5)
        assert found.choose_action(last + 0.55) is silence.SilenceAction.WAIT
        assert found.choose_action(last + 0.57) is silence.SilenceAction.LOST

    def test_live_target_without_copy_gets_more_time(self):
        found, last = self.flowing(has_copy=False)
        found.record_check(last + 1.0)
        assert found.choose_action(last + 1.1) is silence.SilenceAction.WAIT

    def test_loss_of_a_neighbour_makes_a_check_due(self):
        found, last = self.flowing()
        found.make_check_due(last + 0.07)
        assert found.choose_action(last + 0.07) is silence.SilenceAction.CHECK

    def test_check_starts_before_the_allowed_pause_is_half_over(self):
        for pause_s in (0.02, 0.1, 0.3):
            found, last = self.flowing(pause_s=pause_s)
            assert found.due_at() - last <= 0.35


class TestRetryBudget:
    """Rule BUDGET: the sum over all instances keeps to the ratio."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.001, 0.5), strategies.booleans()
            ),
            max_size=200,
        )
    )
    def test_repeats_keep_to_the_share_of_requests(self, steps):
        found = budget.RetryBudget(0.8, 10.0, 16.0, instances=8)
        now, requests, repeats = 0.0, [], []
        for wait_s, is_request in steps:
            now += wait_s
            if is_request:
                found.note_request(now)
                requests.append(now)
            elif found.take(now):
                repeats.append(now)
            asked = sum(now - at <= 10.0 for at in requests)
            sent = sum(now - at < 10.0 for at in repeats)
            assert sent <= 0.8 * asked + 2.0 or not repeats

    def test_constant_part_is_divided(self):
        assert budget.RetryBudget(0.8, 10, 150, instances=1).left(0) == 150
        assert budget.RetryBudget(0.8, 10, 150, instances=75).left(0) == 2


def step(end, **named):
    """Return the step after a try, with everything else favourable."""
    tries = named.pop("tries", retries.Tries(sent=1, unproven=1))
    found = {
        "repeatable": True,
        "max_targets": 3,
        "left_s": 2.0,
        "others": True,
        "budget_left": True,
        **named,
    }
    return retries.after_try(end, tries, **found)


class TestRetries:
    """Rules TWICE, REFUSED and BUDGET, as a table."""

    @pytest.mark.parametrize(
        "lost, fruitless, awaits",
        [
            (0, 0, False),
            (1, 1, False),
            (2, 1, False),
            (2, 2, True),
            (3, 0, True),
        ],
    )
    def test_deaths_are_judged_before_more_targets_get_it(
        self, lost, fruitless, awaits
    ):
        tries = retries.Tries(sent=3, lost=lost, fruitless=fruitless)
        assert retries.awaits_inquiry(tries) is awaits

    @pytest.mark.parametrize(
        "end, named, expected",
        [
            (retries.TryEnd.LOST, {}, "try_again"),
            (retries.TryEnd.FAILED, {}, "try_again"),
            (retries.TryEnd.LOST, {"repeatable": False}, 502),
            (retries.TryEnd.FAILED, {"repeatable": False}, "pass_failure"),
            (retries.TryEnd.FAILED, {"max_targets": 1}, "pass_failure"),
            (retries.TryEnd.LOST, {"max_targets": 1}, 502),
            (retries.TryEnd.LOST, {"budget_left": False}, 502),
            (retries.TryEnd.LOST, {"left_s": 0.01}, 502),
            (retries.TryEnd.LOST, {"others": False}, 502),
        ],
    )
    def test_after_a_send(self, end, named, expected):
        found = step(end, **named)
        if isinstance(expected, int):
            assert found.refusal.status == expected
        else:
            assert found.next.value == expected

    @pytest.mark.parametrize("repeatable", [True, False])
    def test_proof_that_nothing_ran_allows_a_true_refusal(self, repeatable):
        tries = retries.Tries(sent=1, unproven=0)
        found = step(
            retries.TryEnd.NOT_RUN,
            tries=tries,
            repeatable=repeatable,
            max_targets=1,
        )
        assert found.refusal.status == 503
        assert found.refusal.retry_after_s > 0

    def test_refusal_after_a_lost_try_promises_nothing(self):
        tries = retries.Tries(sent=2, unproven=1)
        found = step(retries.TryEnd.NOT_RUN, tries=tries, max_targets=2)
        assert found.refusal.status == 502

    def test_targets_that_died_do_not_use_up_the_number(self):
        tries = retries.Tries(sent=3, lost=1, unproven=3)
        assert step(retries.TryEnd.LOST, tries=tries).refusal is None


class TestEvents:
    """Rule ORDER: whole events, each once."""

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=30)
    )
    def test_any_cut_gives_the_same_events(self, cuts):
        content = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 20))
        splitter = events.EventSplitter()
        found, position = [], 0
        for size in [*cuts, len(content)]:
            found += splitter.feed(content[position : position + size])
            position += size
        assert b"".join(found) == content
        assert not splitter.pending

    def test_event_cut_in_its_middle_is_pending(self):
        splitter = events.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: y") == []
        assert splitter.pending

    def test_order(self):
        sequence = events.Sequence(4)
        assert sequence.check(b"id: 5\n\n") is events.Order.NEXT
        assert sequence.check(b"id: 4\n\n") is events.Order.REPEATED
        assert sequence.check(b"id: 6\n\n") is events.Order.GAP

    def test_endless_event_is_an_error(self):
        splitter = events.EventSplitter()
        with pytest.raises(ValueError, match="too large"):
            splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))


class TestRoutes:
    """Longest prefix, exact host, only one key."""

    def configuration(self):
        def route(prefix, **named):
            share = routes.ServiceShare(ids.ServiceName("pool"), 1.0)
            return routes.Route(
                prefix,
                "h",
                prefix,
                routes.CallKind.IDEMPOTENT,
                (share,),
                2.0,
                0.3,
                **named,
            )

        return routes.Configuration(
            1,
            {"h": (route("/a/"), route("/a/b/"), route("/o/", needs_key=0))},
            {},
            {"k": routes.Organisation(ids.OrganisationId("club"))},
            routes.CallerLimits(),
        )

    @pytest.mark.parametrize(
        "path, prefix",
        [("/a/x", "/a/"), ("/a/b/x", "/a/b/"), ("/a", None), ("/ab/", None)],
    )
    def test_match(self, path, prefix):
        found = routes.match_route(self.configuration(), "h", path)
        assert (found and found.prefix) == prefix

    @pytest.mark.parametrize(
        "path, keys, outcome",
        [
            ("/a/", ("k",), "known"),
            ("/a/", (), "unknown"),
            ("/a/", ("x",), "unknown"),
            ("/a/", ("k", "k"), "unknown"),
            ("/o/", (), "not_needed"),
        ],
    )
    def test_key(self, path, keys, outcome):
        cfg = self.configuration()
        route = routes.match_route(cfg, "h", path)
        assert routes.identify(cfg, route, keys)[0].value == outcome


class TestRefusals:
    """Only statuses that promise nothing follow a possible run."""

    def test_unsent_is_a_promise(self):
        found = refusals.refuse_unsent(refusals.RefusalReason.NO_TARGET, 1.0)
        assert found.status == 503

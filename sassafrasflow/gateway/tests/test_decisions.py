"""Decisions of the request path, tested without a network."""

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
from sassafrasflow.gateway import stopping
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets

NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")


def engine(name, data_centre=NORTH, *, in_flight=0) -> targets.Target:
    """Return a target with twelve slots and some requests in flight."""
    entry = test_targets.listed(name, data_centre=data_centre, slots=12)
    target = targets.Target(entry, 1)
    target.in_flight = in_flight
    return target


def choose(candidates, **named):
    """Choose a target for an instance in NORTH at time 10."""
    preference = placement.Preference(NORTH, **named)
    rng = random.Random(1)
    return placement.choose_target(candidates, preference, 10.0, rng)


class TestPlacement:
    """Guard against all instances choosing the same few engines."""

    def test_least_loaded_wins(self):
        busy, idle = engine("busy", in_flight=3), engine("idle")
        assert choose([busy, idle]) is idle

    def test_load_of_other_instances_counts(self):
        loaded, free = engine("loaded"), engine("free", SOUTH)
        loaded.peer_load = 3.0
        assert choose([loaded, free]) is free

    def test_target_of_the_same_data_centre_wins_a_tie(self):
        other, same = engine("other", SOUTH), engine("same")
        assert choose([other, same]) is same

    def test_lost_target_is_a_last_resort(self):
        lost, busy = engine("lost"), engine("busy", in_flight=9)
        lost.record_loss(9.5)
        assert choose([lost, busy]) is busy
        assert choose([lost]) is lost

    def test_target_that_failed_the_request_is_a_last_resort(self):
        first, second = engine("first"), engine("second", in_flight=5)
        assert choose([first, second], avoid={"first"}) is second

    def test_prefill_outweighs_running_requests(self):
        prefill, running = engine("prefill"), engine("running", in_flight=2)
        prefill.in_flight = prefill.prefills = 1
        assert choose([prefill, running]) is running

    def test_copy_goes_to_another_data_centre(self):
        primary, local = engine("primary"), engine("local")
        remote = engine("remote", SOUTH, in_flight=5)
        holder = placement.choose_copy_holder(
            [primary, local, remote],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is remote

    def test_lost_target_gets_no_copy(self):
        primary, local = engine("primary"), engine("local")
        remote = engine("remote", SOUTH)
        remote.record_loss(9.8)
        holder = placement.choose_copy_holder(
            [primary, local, remote],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is local


class TestCorrelatedLoss:
    """Guard against requests to a data centre whose engines crashed together.

    Some of the engines crash silently, so their losses are not detected yet.
    """

    def test_data_centre_with_two_losses_is_avoided(self):
        dead = [engine(f"dead{n}") for n in range(2)]
        for target in dead:
            target.record_loss(9.9)
        local, remote = engine("local"), engine("remote", SOUTH, in_flight=6)
        assert choose([*dead, local, remote]) is remote

    def test_data_centre_with_a_single_loss_is_used(self):
        dead, local = engine("dead"), engine("local")
        dead.record_loss(9.9)
        remote = engine("remote", SOUTH, in_flight=6)
        assert choose([dead, local, remote]) is local

    def test_data_centre_that_lost_the_request_is_avoided(self):
        local, remote = engine("local"), engine("remote", SOUTH, in_flight=6)
        chosen = choose([local, remote], avoid_data_centres={NORTH})
        assert chosen is remote

    def test_restarted_engines_are_used_again(self):
        dead = [engine(f"dead{n}") for n in range(2)]
        for target in dead:
            target.record_loss(8.7)
        local, remote = engine("local"), engine("remote", SOUTH, in_flight=6)
        assert choose([*dead, local, remote]) is local

    def test_data_centre_with_two_losses_gets_no_copy(self):
        dead = [engine(f"dead{n}", SOUTH) for n in range(2)]
        for target in dead:
            target.record_loss(9.9)
        primary, local, remote = engine("p"), engine("b"), engine("a", SOUTH)
        holder = placement.choose_copy_holder(
            [*dead, primary, local, remote],
            primary=primary,
            now=10.0,
            rng=random.Random(1),
        )
        assert holder is local


class TestControl:
    """Guard against blaming targets for a saturated link of the instance.

    Such an instance connects late to every target. A control check of a
    healthy target in another data centre shows it.
    """

    def test_control_is_a_healthy_target_of_another_data_centre(self):
        suspect, local = engine("suspect"), engine("local")
        lost, remote = engine("lost", SOUTH), engine("remote", SOUTH)
        lost.record_loss(9.9)
        control = placement.choose_control_target(
            [suspect, local, lost, remote], suspect, 10.0, random.Random(1)
        )
        assert control is remote

    def test_without_a_second_data_centre_there_is_none(self):
        suspect, local = engine("suspect"), engine("local")
        control = placement.choose_control_target(
            [suspect, local], suspect, 10.0, random.Random(1)
        )
        assert control is None


class TestSilence:
    """Guard against confusing crashed engines with silent, busy ones."""

    def after_steady_events(
        self, *, pause_s=0.03, has_copy=True, max_pause_s=0.7
    ):
        stream = silence.SilenceMonitor(
            0.0, max_pause_s=max_pause_s, has_copy=has_copy
        )
        now = 1.0
        for _ in range(30):
            now += pause_s
            stream.record_event(now)
        return stream, now

    def test_usual_pause_is_not_checked(self):
        stream, last_at = self.after_steady_events()
        assert (
            stream.choose_action(last_at + 0.1) is silence.SilenceAction.WAIT
        )

    def test_long_pause_is_checked(self):
        stream, last_at = self.after_steady_events()
        assert (
            stream.choose_action(last_at + 0.16) is silence.SilenceAction.CHECK
        )

    def test_slower_stream_gets_more_time(self):
        stream, last_at = self.after_steady_events(pause_s=0.09)
        assert (
            stream.choose_action(last_at + 0.2) is silence.SilenceAction.WAIT
        )
        assert (
            stream.choose_action(last_at + 0.31) is silence.SilenceAction.CHECK
        )

    def test_live_target_counts_as_lost_while_there_is_time_to_resume(self):
        stream, last_at = self.after_steady_events()
        stream.record_check(last_at + 0.5)
        assert (
            stream.choose_action(last_at + 0.55) is silence.SilenceAction.WAIT
        )
        assert (
            stream.choose_action(last_at + 0.57) is silence.SilenceAction.LOST
        )

    def test_live_target_without_copy_gets_more_time(self):
        stream, last_at = self.after_steady_events(has_copy=False)
        stream.record_check(last_at + 1.0)
        assert (
            stream.choose_action(last_at + 1.1) is silence.SilenceAction.WAIT
        )

    def test_suspicion_makes_a_check_due(self):
        stream, last_at = self.after_steady_events()
        stream.make_check_due(last_at + 0.07)
        assert (
            stream.choose_action(last_at + 0.07) is silence.SilenceAction.CHECK
        )

    def test_check_starts_before_the_allowed_pause_is_half_over(self):
        for pause_s in (0.02, 0.1, 0.3):
            stream, last_at = self.after_steady_events(pause_s=pause_s)
            assert stream.due_at() - last_at <= 0.35


class TestRetryBudget:
    """Guard against retries beyond the ratio, summed over all instances."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.001, 0.5), strategies.booleans()
            ),
            max_size=200,
        )
    )
    def test_retries_stay_within_the_ratio(self, steps):
        retry_budget = budget.RetryBudget(0.8, 10.0, 16.0, instances=8)
        now, requests, retries_sent = 0.0, [], []
        for wait_s, is_request in steps:
            now += wait_s
            if is_request:
                retry_budget.record_request(now)
                requests.append(now)
            elif retry_budget.try_spend(now):
                retries_sent.append(now)
            recent = sum(now - at <= 10.0 for at in requests)
            sent = sum(now - at < 10.0 for at in retries_sent)
            assert sent <= 0.8 * recent + 2.0 or not retries_sent

    def test_slack_is_divided_among_instances(self):
        assert (
            budget.RetryBudget(0.8, 10, 150, instances=1).remaining(0) == 150
        )
        assert budget.RetryBudget(0.8, 10, 150, instances=75).remaining(0) == 2


class TestStops:
    """Guard against streams that are cut when their instance exits."""

    @pytest.mark.parametrize(
        ("stopping_s", "stream_s", "admits"),
        [
            (0.0, 0.0, True),
            (1.5, 0.0, True),
            (1.6, 0.0, False),
            (1.6, 0.1, False),
            (0.5, 7.0, True),
            (0.7, 7.0, False),
            (0.0, 10.8, False),
        ],
    )
    def test_stream_has_to_end_in_the_grace_period(
        self, stopping_s, stream_s, admits
    ):
        kind = routes.CallKind.STREAM
        assert stopping.can_admit(kind, stopping_s, 8.0, stream_s) is admits

    def test_calls_are_admitted_as_before(self):
        kind = routes.CallKind.IDEMPOTENT
        assert stopping.can_admit(kind, 6.6, 8.0, 10.8)
        assert not stopping.can_admit(kind, 6.7, 8.0)


def step(end, **named):
    """Return the step after a try; the defaults allow another try."""
    tries = named.pop("tries", retries.Tries(sent=1, possibly_run=1))
    arguments = {
        "is_retryable": True,
        "max_targets": 3,
        "remaining_s": 2.0,
        "has_other_targets": True,
        "has_budget": True,
        **named,
    }
    return retries.decide_next_step(end, tries, **arguments)


class TestRetries:
    """Check the decisions after a try, in particular what is promised.

    A request that must run at most once is never sent again after it may
    have run, and only a request that did not run gets a 503.
    """

    @pytest.mark.parametrize(
        "lost, without_progress, expected",
        [
            (0, 0, False),
            (1, 1, False),
            (2, 1, False),
            (2, 2, True),
            (3, 0, True),
        ],
    )
    def test_crashes_are_attributed_before_more_targets_get_the_request(
        self, lost, without_progress, expected
    ):
        tries = retries.Tries(
            sent=3, lost=lost, without_progress=without_progress
        )
        assert retries.needs_crash_attribution(tries) is expected

    @pytest.mark.parametrize(
        "end, named, expected",
        [
            (retries.TryEnd.LOST, {}, "try_again"),
            (retries.TryEnd.FAILED, {}, "try_again"),
            (retries.TryEnd.LOST, {"is_retryable": False}, 502),
            (retries.TryEnd.FAILED, {"is_retryable": False}, "pass_failure"),
            (retries.TryEnd.FAILED, {"max_targets": 1}, "pass_failure"),
            (retries.TryEnd.LOST, {"max_targets": 1}, 502),
            (retries.TryEnd.LOST, {"has_budget": False}, 502),
            (retries.TryEnd.LOST, {"remaining_s": 0.01}, 502),
            (retries.TryEnd.LOST, {"has_other_targets": False}, 502),
        ],
    )
    def test_after_a_send(self, end, named, expected):
        decision = step(end, **named)
        if isinstance(expected, int):
            assert decision.refusal.status == expected
        else:
            assert decision.next.value == expected

    @pytest.mark.parametrize("is_retryable", [True, False])
    def test_proof_that_nothing_ran_allows_a_503(self, is_retryable):
        tries = retries.Tries(sent=1, possibly_run=0)
        decision = step(
            retries.TryEnd.NOT_RUN,
            tries=tries,
            is_retryable=is_retryable,
            max_targets=1,
        )
        assert decision.refusal.status == 503
        assert decision.refusal.retry_after_s > 0

    def test_refusal_after_a_lost_try_promises_nothing(self):
        tries = retries.Tries(sent=2, possibly_run=1)
        decision = step(retries.TryEnd.NOT_RUN, tries=tries, max_targets=2)
        assert decision.refusal.status == 502

    def test_lost_targets_do_not_count_towards_the_maximum(self):
        tries = retries.Tries(sent=3, lost=1, possibly_run=3)
        assert step(retries.TryEnd.LOST, tries=tries).refusal is None


class TestEvents:
    """Guard against partial, repeated and missing events."""

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=30)
    )
    def test_events_do_not_depend_on_the_pieces(self, cuts):
        content = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 20))
        splitter = events.EventSplitter()
        complete, position = [], 0
        for size in [*cuts, len(content)]:
            complete += splitter.feed(content[position : position + size])
            position += size
        assert b"".join(complete) == content
        assert not splitter.has_partial_event

    def test_partial_event_is_pending(self):
        splitter = events.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: y") == []
        assert splitter.has_partial_event

    def test_order(self):
        sequence = events.EventSequence(4)
        assert sequence.check(b"id: 5\n\n") is events.SequenceStatus.NEXT
        assert sequence.check(b"id: 4\n\n") is events.SequenceStatus.REPEATED
        assert sequence.check(b"id: 6\n\n") is events.SequenceStatus.GAP

    def test_endless_event_is_an_error(self):
        splitter = events.EventSplitter()
        with pytest.raises(ValueError, match="too large"):
            splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))


class TestRoutes:
    """Check the choice of the route and of the organisation.

    The longest prefix of the path and the exact host decide the route. A
    request with several keys is not identified.
    """

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
        route = routes.match_route(self.configuration(), "h", path)
        assert (route and route.prefix) == prefix

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
        assert routes.identify_caller(cfg, route, keys)[0].value == outcome


class TestRefusals:
    """Guard against a wrong promise in the status of a refusal."""

    def test_request_that_did_not_run_gets_a_503(self):
        refusal = refusals.refuse_not_run(
            refusals.RefusalReason.NO_TARGET, 1.0
        )
        assert refusal.status == 503

"""Placement policies to compare, including that of the gateway."""

from sassafrasflow.experiments import fleet
from sassafrasflow.experiments import load_sharing
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets

__all__ = ["POLICIES"]


class QueryOwners(fleet.Policy):
    """Place as the gateway does, by querying the owners of a few targets."""

    sharing = load_sharing.OwnerQueries

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        sample = placement.sample_choices(
            view.targets, preference, view.now, view.rng
        )
        local = view.query_loads(sample.local)
        best = placement.choose_target(local, preference, view.now, view.rng)
        if best is not None and placement.is_lightly_loaded(best, view.now):
            return best
        remote = view.query_loads(sample.remote)
        return placement.choose_target(
            [*local, *remote], preference, view.now, view.rng
        )


class QueryOwnersIgnoringAnnouncements(QueryOwners):
    """Place as the gateway does, but ignore announcements of engines."""

    uses_announcements = False


class QueryOwnersOfSubset(QueryOwners):
    """Query only owners of targets in a balanced subset of the pool.

    The subset has as many local targets as remote ones. If none of its
    targets is a candidate, all candidates are used.
    """

    def __init__(self, size: int) -> None:
        self._size = size

    def choose(self, view: fleet.View) -> targets.Target | None:
        subset = view.subset(self._size)
        candidates = [each for each in view.targets if each.id in subset]
        view.targets = candidates or view.targets
        return super().choose(view)


class Sampled(fleet.Policy):
    """Compare two local and two remote targets by broadcast loads."""

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        sample = placement.sample_choices(
            view.targets, preference, view.now, view.rng
        )
        candidates = view.query_loads([*sample.local, *sample.remote])
        return placement.choose_target(
            candidates, preference, view.now, view.rng
        )


class SampledWithoutSharing(Sampled):
    """Compare two local and two remote targets by the instance's own load."""

    sharing = load_sharing.NoSharing


class LeastLoaded(fleet.Policy):
    """Place at the least loaded of all targets, preferring local ones."""

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        candidates = view.query_loads(view.targets)
        return placement.choose_target(
            candidates, preference, view.now, view.rng
        )


class Random(fleet.Policy):
    """Place at random."""

    sharing = load_sharing.NoSharing

    def choose(self, view: fleet.View) -> targets.Target | None:
        return view.rng.choice(view.targets) if view.targets else None


POLICIES: dict[str, fleet.Policy] = {
    "asked": QueryOwners(),
    "asked-unheeding": QueryOwnersIgnoringAnnouncements(),
    "asked-of-8": QueryOwnersOfSubset(4),
    "asked-of-32": QueryOwnersOfSubset(16),
    "sampled": Sampled(),
    "sampled-alone": SampledWithoutSharing(),
    "least-loaded": LeastLoaded(),
    "random": Random(),
}

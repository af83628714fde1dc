"""Placements to compare, the one in force among them."""

from sassafrasflow.experiments import fleet
from sassafrasflow.experiments import knowledge
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets

__all__ = ["POLICIES"]


class Asked(fleet.Policy):
    """Place as the gateway does: ask the homes of a few targets."""

    sharing = knowledge.Homes

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        drawn = placement.sample_choices(
            view.targets, preference, view.now, view.rng
        )
        near = view.learn_loads(drawn.local)
        best = placement.choose_target(near, preference, view.now, view.rng)
        if best is not None and placement.is_lightly_loaded(best, view.now):
            return best
        far = view.learn_loads(drawn.remote)
        return placement.choose_target(
            [*near, *far], preference, view.now, view.rng
        )


class AskedUnheeding(Asked):
    """Place as the gateway does, but believe nothing that engines say."""

    heeds = False


class AskedSubset(Asked):
    """Ask homes about targets of a balanced part of the pool.

    The part is as large in the own data centre as elsewhere, and all
    targets are used where there are no more.
    """

    def __init__(self, size: int) -> None:
        self._size = size

    def choose(self, view: fleet.View) -> targets.Target | None:
        known = view.subset(self._size)
        found = [each for each in view.targets if each.id in known]
        view.targets = found or view.targets
        return super().choose(view)


class Sampled(fleet.Policy):
    """Compare two near and two elsewhere, by loads that all are told."""

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        drawn = placement.sample_choices(
            view.targets, preference, view.now, view.rng
        )
        found = view.learn_loads([*drawn.local, *drawn.remote])
        return placement.choose_target(found, preference, view.now, view.rng)


class SampledAlone(Sampled):
    """Compare two near and two elsewhere by own work alone."""

    sharing = knowledge.Alone


class LeastLoaded(fleet.Policy):
    """Place at the least loaded of all, near ones first."""

    def choose(self, view: fleet.View) -> targets.Target | None:
        preference = placement.Preference(view.data_centre)
        found = view.learn_loads(view.targets)
        return placement.choose_target(found, preference, view.now, view.rng)


class Anywhere(fleet.Policy):
    """Place anywhere."""

    sharing = knowledge.Alone

    def choose(self, view: fleet.View) -> targets.Target | None:
        return view.rng.choice(view.targets) if view.targets else None


POLICIES: dict[str, fleet.Policy] = {
    "asked": Asked(),
    "asked-unheeding": AskedUnheeding(),
    "asked-of-8": AskedSubset(4),
    "asked-of-32": AskedSubset(16),
    "sampled": Sampled(),
    "sampled-alone": SampledAlone(),
    "least-loaded": LeastLoaded(),
    "random": Anywhere(),
}

"""Which versions of a service are sound enough to serve beside a new one.

Operators order one version after the other, and targets of several versions
are listed at the same time. A version on trial is compared with the versions
that serve, and its requests go back to them after a roll-back. So a version
must not join them only because a newer one was ordered.
"""

from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from sassafrasflow import ids

__all__ = ["Baseline"]

# Versions that fit in a datagram of 1,400 bytes beside the rest of a state.
MAX_VERSIONS = 8
MAX_NAME_CHARS = 300


class Baseline(msgspec.Struct, frozen=True, array_like=True):
    """Versions of a service other than the ordered one."""

    # Versions that have served since the order, the oldest first.
    serving: tuple[ids.VersionId, ...] = ()
    # Versions that earlier orders have ruled out, the oldest first.
    withdrawn: tuple[ids.VersionId, ...] = ()

    def with_listed(
        self, ordered: ids.VersionId, listed: Iterable[ids.VersionId]
    ) -> "Baseline":
        """Add the versions of listed targets to those that serve."""
        known = {ordered, *self.serving, *self.withdrawn}
        added = sorted(set(listed) - known)
        if not added:
            return self
        return Baseline(_newest([*self.serving, *added]), self.withdrawn)

    def after(
        self, ordered: ids.VersionId, *, is_completed: bool
    ) -> "Baseline":
        """Return the baseline of the next order.

        If the rollout was completed, the versions that served before are
        retired. Otherwise nobody has found the ordered version sound, unless
        no other version was there to serve.
        """
        withdrawn = [each for each in self.withdrawn if each != ordered]
        if is_completed:
            withdrawn += self.serving
        elif self.serving:
            withdrawn.append(ordered)
        return Baseline((), _newest(withdrawn))

    def without(self, others: Collection[ids.VersionId]) -> "Baseline":
        """Return a baseline with some more versions withdrawn."""
        return Baseline(
            tuple(each for each in self.serving if each not in others),
            _newest(
                [
                    *(each for each in self.withdrawn if each not in others),
                    *others,
                ]
            ),
        )


def _newest(versions: list[ids.VersionId]) -> tuple[ids.VersionId, ...]:
    """Return the newest versions whose names are short enough together."""
    kept: list[ids.VersionId] = []
    chars = 0
    for version in reversed(versions[-MAX_VERSIONS:]):
        chars += len(version)
        if chars > MAX_NAME_CHARS:
            break
        kept.insert(0, version)
    return tuple(kept)

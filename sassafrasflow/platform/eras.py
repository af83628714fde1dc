"""Fence writes against those of later eras of the store."""

from sassafrasflow import ids
from sassafrasflow.gateway import versions
from sassafrasflow.platform import store as stores

__all__ = ["fence"]

# Written with each state: a row for each of the last eras of the store.
ERA_TABLE = "sassafrasflow-eras"
# Further restores may lose the rows of this many eras without effect.
FENCED_ERAS = 4


def fence(era: ids.StoreEra) -> list[stores.Write]:
    """Return what makes a write fail after one of a later era.

    A restored store gives out revisions again, so an expected revision from
    a former era may be that of a row that the writer never read.
    """
    if era == versions.UNKNOWN_ERA:
        return []
    first = max(1, era - FENCED_ERAS + 1)
    return [
        stores.Write(ERA_TABLE, str(era + 1), None, 0),
        *(
            stores.Write(ERA_TABLE, str(earlier), b"{}")
            for earlier in range(first, era + 1)
        ),
    ]

"""Directory of engines for benchmarks of decisions, without I/O."""

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow import routing
from sassafrasflow import storage
from sassafrasflow import targets

__all__ = [
    "MODEL",
    "ORGANISATION",
    "REGIONS",
    "VERSION",
    "SingleVersionChooser",
    "build_directory",
    "report",
]

MODEL = ids.ModelName("planner")
VERSION = ids.VersionId("v1")
ORGANISATION = ids.OrganisationId("club")
REGIONS = tuple(ids.Region(name) for name in ("east", "west", "south"))


class SingleVersionChooser(routing.VersionChooser):
    """Choose the only version."""

    def choose(self, work: routing.Work) -> ids.VersionId | None:
        return VERSION


class _EmptyInstanceList(storage.InstanceList):
    async def instances(self) -> list[storage.ListedInstance]:
        return []


def report(
    running: int, queued: int, capacity: int, incarnation: int = 1
) -> engines.EngineReport:
    """Return an engine's report."""
    return engines.EngineReport(
        incarnation=incarnation,
        loaded=[engines.LoadedVersion(MODEL, VERSION)],
        running=running,
        queued=queued,
        capacity=capacity,
    )


def build_directory(
    count: int, clock: clocks.Clock, capacity: int
) -> targets.TargetDirectory:
    """Return a directory of idle engines, spread over the regions."""
    directory = targets.TargetDirectory(
        _EmptyInstanceList(), targets.DirectoryPolicy(), clock
    )
    listed = [
        storage.ListedInstance(
            id=f"engine-{number}",
            kind=storage.TargetKind.ENGINE,
            address=f"10.0.0.{number}:80",
            region=REGIONS[number % len(REGIONS)],
            data_centre=ids.DataCentre("dc"),
        )
        for number in range(count)
    ]
    directory.apply_list(listed)
    for target in directory:
        directory.apply_report(target, report(0, 0, capacity))
    return directory

"""Configuration document: models, services and organisations."""

import hashlib

import msgspec

from sassafrasflow import ids

__all__ = [
    "Document",
    "Model",
    "Organisation",
    "Route",
    "Service",
    "Trial",
    "hash_key",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Give each version of a model its share of new requests."""

    shares: dict[ids.VersionId, float]


class Trial(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe the release of a version that has not ended.

    ``deadline`` is in Unix time. From then on, each instance by itself gives
    the candidate no new work, even if no newer revision reaches the instance.
    """

    note: ids.NoteId
    candidate: ids.VersionId
    baseline: ids.VersionId | None
    started_at: float
    deadline: float


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set whether calls under a path prefix may be repeated."""

    method: str
    prefix: str
    idempotent: bool


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """List the routes that differ from the default of their method."""

    routes: tuple[Route, ...] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated."""
        matching = [
            route
            for route in self.routes
            if route.method == method and path.startswith(route.prefix)
        ]
        if not matching:
            return method in IDEMPOTENT_METHODS
        return max(matching, key=lambda r: len(r.prefix)).idempotent


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the hashed API keys and the weight of an organisation."""

    key_hashes: tuple[str, ...]
    weight: float = 1.0
    priority: int = 0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold all configuration that operators change.

    Revision 0 is the initial configuration of the settings.
    """

    revision: ids.Revision = ids.Revision(0)
    models: dict[ids.ModelName, Model] = {}
    services: dict[ids.ServiceName, Service] = {}
    organisations: dict[ids.OrganisationId, Organisation] = {}
    operator_key_hashes: tuple[str, ...] = ()
    settings: dict[str, float] = {}
    trials: dict[ids.ModelName, Trial] = {}
    withdrawn: dict[ids.ModelName, tuple[ids.VersionId, ...]] = {}
    author: str = ""
    token: str = ""

    def shares(self, model: ids.ModelName) -> dict[ids.VersionId, float]:
        """Return the versions of a model with a share above zero."""
        cfg = self.models.get(model)
        if cfg is None:
            return {}
        return {ver: share for ver, share in cfg.shares.items() if share}

    def shares_at(
        self, model: ids.ModelName, now: float
    ) -> dict[ids.VersionId, float]:
        """Return the shares at a Unix time, without an overdue candidate."""
        shares = self.shares(model)
        trial = self.trials.get(model)
        if trial is None or now < trial.deadline:
            return shares
        shares.pop(trial.candidate, None)
        if not shares and trial.baseline is not None:
            return {trial.baseline: 1.0}
        return shares

    def organisation_of(self, api_key: str) -> ids.OrganisationId | None:
        """Return the organisation that an API key belongs to."""
        key_hash = hash_key(api_key)
        for organisation, entry in self.organisations.items():
            if key_hash in entry.key_hashes:
                return organisation
        return None

    def is_operator(self, api_key: str) -> bool:
        """Return whether a key belongs to an operator."""
        return hash_key(api_key) in self.operator_key_hashes


def hash_key(api_key: str) -> str:
    """Return the SHA-256 hash by which a key is stored, in hexadecimal."""
    return hashlib.sha256(api_key.encode()).hexdigest()

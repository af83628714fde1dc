"""Ranks that the configuration gives the streams of a service."""

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import routes

POOL = ids.ServiceName("pool")
BASE = routes.Route(
    "plan",
    "shop.example",
    "/plan/",
    routes.CallKind.STREAM,
    (routes.ServiceShare(POOL, 1.0),),
    25.0,
    4.0,
    rank=2,
)


def configuration(*changes, organisations=None) -> routes.Configuration:
    """Return a configuration with a route for each group of changes."""
    found = tuple(msgspec.structs.replace(BASE, **each) for each in changes)
    return routes.Configuration(
        1, {"shop.example": found}, {}, organisations, routes.CallerLimits()
    )


def organisations(*ranks) -> dict[str, routes.Organisation]:
    return {
        f"key-{number}": routes.Organisation(
            ids.OrganisationId(f"o{number}"), rank
        )
        for number, rank in enumerate(ranks)
    }


class TestStreamRanks:
    """Guard against streams that yield to a rank that no stream has."""

    @pytest.mark.parametrize(
        ("cfg", "most_urgent"),
        [
            (configuration({}), 2),
            (configuration({}, {"rank": 0}), 0),
            (configuration({}, {"rank": -3}), 0),
            # Calls, other services and shares without weight don't count.
            (
                configuration(
                    {}, {"rank": 0, "kind": routes.CallKind.IDEMPOTENT}
                ),
                2,
            ),
            (
                configuration(
                    {},
                    {
                        "rank": 0,
                        "shares": (
                            routes.ServiceShare(ids.ServiceName("x"), 1.0),
                        ),
                    },
                ),
                2,
            ),
            (
                configuration(
                    {},
                    {"rank": 0, "shares": (routes.ServiceShare(POOL, 0.0),)},
                ),
                2,
            ),
            # Ranks of organisations override those of the routes.
            (configuration({}, organisations=organisations(1, 4)), 1),
            (configuration({}, organisations=organisations(4, 5)), 4),
            (configuration({}, organisations=organisations(4, None)), 2),
            (
                configuration(
                    {"needs_key": False}, organisations=organisations(4)
                ),
                2,
            ),
            (configuration(), 0),
        ],
    )
    def test_most_urgent(self, cfg, most_urgent):
        assert routes.StreamRanks().most_urgent(cfg, POOL) == most_urgent

    def test_urgent_route_of_an_organisation_comes_first(self):
        """Guard against one place for all streams of an organisation.

        Its urgent streams would wait behind its patient ones.
        """
        cfg = configuration(
            {"rank": 2}, {"rank": 0}, organisations=organisations(1, 0)
        )
        patient, urgent = cfg.routes["shop.example"]
        first, second = (cfg.organisations[f"key-{n}"] for n in (1, 0))
        ranks = routes.StreamRanks()
        assert [
            ranks.place_of(cfg, POOL, route, organisation)
            for organisation in (first, second)
            for route in (urgent, patient)
        ] == [0, 1, 2, 3]

    def test_places_are_bounded(self):
        cfg = configuration(
            {}, {"rank": 0}, organisations=organisations(*range(10))
        )
        places = {
            routes.StreamRanks().place_of(cfg, POOL, route, organisation)
            for route in cfg.routes["shop.example"]
            for organisation in cfg.organisations.values()
        }
        assert places == set(range(10))

    def test_new_configuration_is_used(self):
        ranks = routes.StreamRanks()
        assert ranks.most_urgent(configuration({}), POOL) == 2
        assert ranks.most_urgent(configuration({"rank": 1}), POOL) == 1

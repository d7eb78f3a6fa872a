"""Tests of route matching, client accounts and home regions."""

import pytest

from hickorythread import acceptance
from hickorythread import routing
from tests import builders
from tests import mesh


def build_index(*operations):
    first = builders.entry(1, 0, *builders.guild_operations(), *operations)
    empty = acceptance.empty_configuration()
    return routing.RouteIndex(acceptance.accept(empty, first).ok)


def put_route(name, **changes):
    return builders.operation("put_route", builders.route(name, **changes))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/specs", "specs"),
        ("/specs/1?x=/specs/deep", "specs"),
        ("/specs/deep/er", "deep"),
        ("/specsheet", 404),
        ("/specs/../kilns", 400),
        ("/specs/%2E%2e/kilns", 400),
        ("specs", 400),
    ],
)
def test_longest_prefix_of_whole_segments_wins(path, expected):
    """R6: guards against a path that bypasses the rules of its route."""
    index = build_index(put_route("deep", path_prefix="/specs/deep"))
    match = index.find("GET", path, "builders")
    is_route = isinstance(match, routing.RouteMatch)
    assert (match.route.name if is_route else match.status) == expected


def test_home_regions_are_the_intersection():
    """R6: guards against disjoint home regions taken for no restriction."""
    north = {"name": "northern", "home_regions": ["north-tas"]}
    index = build_index(
        builders.operation("put_tenant", north),
        put_route("south", home_regions=["south-tas"]),
    )
    assert index.find("GET", "/specs", "northern").allows("north-tas")
    assert not index.find("GET", "/specs", "northern").allows("south-tas")
    assert index.find("GET", "/south", "northern").home_regions == set()
    assert index.find("GET", "/specs", "stranger").status == 403


def test_match_route_names_the_refusal():
    """R6: guards against a result that does not carry the refusal."""
    request = mesh.request("GET", "/absent")
    result = routing.match_route(builders.guild_configuration(), request)
    assert result.error.status == 404
